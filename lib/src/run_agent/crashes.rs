//! Notices of target crashes to the entries.
//!
//! The owner of a run learns of the crash by the end of the run. The other entries are told because
//! the owner may be gone, and its caller may retry the batch at one of them.

use super::RunAgentCore;
use crate::ids::{Incarnation, SessionId};
use crate::run::RunKey;
use crate::run_message::{AgentNews, CRASH_NOTICE_PROTOCOL, CrashNotice};

impl RunAgentCore {
    /// Tells all linked entries but the owner that the target crashed during a run.
    pub(super) fn notify_crash(&mut self, key: RunKey, owner: Incarnation, alone: bool) {
        let notice = CrashNotice {
            key,
            owner,
            alone,
            age_ms: 0,
        };
        let agent = Some(&self.options.name);
        self.crash_notices.note(self.now, notice, agent);
        for (_, link) in self.entry_links.iter_mut() {
            if link.protocol >= CRASH_NOTICE_PROTOCOL && link.entry != Some(owner) {
                link.news.push(AgentNews::Crashed(notice));
            }
        }
    }

    /// Tells a newly linked entry of all recent crashes. It may be the next incarnation of a run's
    /// owner, with no neighbour that could tell it.
    pub(super) fn send_crash_notices(&mut self, link: SessionId) {
        let Some(found) = self.entry_links.get_mut(link) else {
            return;
        };
        if found.protocol >= CRASH_NOTICE_PROTOCOL {
            let notices = self.crash_notices.all(self.now);
            found.news.extend(notices.map(AgentNews::Crashed));
        }
    }
}
