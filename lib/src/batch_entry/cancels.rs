//! Cancels batches: those that this entry holds, and those that it may get after their cancel.

use super::BatchEntryCore;
use crate::active_batch::CloseReason;
use crate::batch_event::{BatchQuery, EntryAction, Reply};
use crate::events::EventCode;
use crate::run::BatchId;
use crate::run_message::CancelNotice;

impl BatchEntryCore {
    /// Handles a caller's cancel. It holds for the batch wherever it is and arrives later, so it is
    /// remembered and passed on to the other entries.
    pub(super) fn cancel(&mut self, query: &BatchQuery) {
        let Some(id) = query.batch else {
            self.actions
                .push(EntryAction::Reply(query.request, Reply::NoBatch));
            return;
        };
        let is_held = self.cancel_held(id);
        let reply = if is_held {
            Reply::Cancelled
        } else {
            self.log(EventCode::CancelRemembered, format!("job={id:016x}"));
            Reply::NoBatch
        };
        self.actions.push(EntryAction::Reply(query.request, reply));
        // The caller of a batch that is held here has its answer, and returns later if at all.
        let may_wait = is_held && !self.drain.has_begun();
        let notice = CancelNotice {
            batch: id,
            age_ms: 0,
        };
        self.directory.note_own_cancel(self.now, notice, may_wait);
    }

    /// Cancels a batch if this entry holds it or has handed it over, and answers its caller. Returns
    /// whether it does.
    pub(super) fn cancel_held(&mut self, id: BatchId) -> bool {
        if self.cancel_handed(id) {
            return true;
        }
        if self.table.get(id).is_none() {
            return false;
        }
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=cancelled"),
        );
        if let Some(request) = self.table.take_request(id) {
            self.actions
                .push(EntryAction::Reply(request, Reply::Cancelled));
        }
        self.close(id, CloseReason::Cancelled);
        true
    }
}
