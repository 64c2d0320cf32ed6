//! Injects faults into a simulated fleet and ends them.

use super::*;

impl VirtualFleet {
    /// Records that a step was reached, and injects each fault planned for it once.
    pub(super) fn reach_step(&mut self, step: Step, site: FaultSite) {
        self.reached.insert(step);
        for index in 0..self.plan.faults.len() {
            let planned = self.plan.faults[index];
            if planned.step == step && !planned.injected && self.now >= planned.not_before {
                self.plan.faults[index].injected = true;
                self.injected += 1;
                self.inject(planned.fault, site);
            }
        }
    }

    /// Injects a fault now.
    pub fn inject(&mut self, fault: Fault, site: FaultSite) {
        let FaultSite { entry, agent } = site;
        let until = self.now + FAULT_LENGTH;
        match fault {
            Fault::EntryDies => {
                self.kill_entry(entry);
                self.schedule_after(RESTART, Event::StartEntry(entry));
            }
            Fault::AgentDies => {
                self.kill_agent(agent);
                self.schedule_after(RESTART, Event::StartAgent(agent));
            }
            Fault::TargetDies => {
                self.kill_agent(agent);
                self.targets[agent].runs.clear();
                self.targets[agent].down = true;
                self.vms.remove(&format!("target-{agent}"));
                self.schedule_after(FAULT_LENGTH, Event::StartAgent(agent));
            }
            Fault::TargetRefuses => self.targets[agent].down = true,
            Fault::CutBothWays => {
                let link = self.link(entry, agent);
                link.cut_to_agent = true;
                link.cut_to_entry = true;
            }
            Fault::CutToAgent => self.link(entry, agent).cut_to_agent = true,
            Fault::CutToEntry => self.link(entry, agent).cut_to_entry = true,
            Fault::SessionBreaks => {
                let session = self.link(entry, agent).session;
                if let Some(session) = session {
                    self.close_link(session);
                }
            }
            Fault::FrameLost => self.link(entry, agent).frames_to_lose = 1,
            Fault::FrameDoubled => self.link(entry, agent).frames_to_duplicate = 2,
            Fault::FrameLate => self.link(entry, agent).frames_to_delay = 1,
            Fault::FramesReordered => self.link(entry, agent).frames_to_reorder = 1,
            Fault::EntryPauses => self.entries[entry].paused_until = until,
            Fault::AgentPauses => self.agents[agent].paused_until = until,
            Fault::EntryClockSteps => self.entries[entry].clock_offset += CLOCK_STEP,
            Fault::AgentClockSteps => self.agents[agent].clock_offset += CLOCK_STEP,
            Fault::LogDown => self.log.set_faults(LogFaults {
                down: true,
                ..LogFaults::default()
            }),
            Fault::LogSlow => self.log_delay = Duration::from_secs(3),
            Fault::LogRepliesLost => self.log.set_faults(LogFaults {
                lose_replies: true,
                ..LogFaults::default()
            }),
            Fault::LogExpires => self.expire_log(),
            Fault::ListStale => self.stale_list = self.vms.list_now().ok(),
            Fault::ListDown => self.vms.set_down(true),
        }
        self.schedule_after(FAULT_LENGTH, Event::EndFault(fault, site));
    }

    /// Drops records older than the retention.
    pub(super) fn expire_log(&mut self) {
        let kept_since = self.now.saturating_sub(LOG_RETENTION);
        let older = self.log_ends.range(..=kept_since).next_back();
        if let Some((_, end)) = older {
            self.log.expire_below(*end);
        }
    }

    /// Records the current end of the log for its retention.
    pub(super) fn note_log_end(&mut self) {
        self.log_ends.insert(self.now, self.log.end());
    }

    pub(super) fn end_fault(&mut self, fault: Fault, site: FaultSite) {
        let FaultSite { entry, agent } = site;
        match fault {
            Fault::CutBothWays | Fault::CutToAgent | Fault::CutToEntry => {
                let link = self.link(entry, agent);
                link.cut_to_agent = false;
                link.cut_to_entry = false;
            }
            Fault::TargetRefuses => self.targets[agent].down = false,
            Fault::LogDown | Fault::LogRepliesLost => self.log.set_faults(LogFaults::default()),
            Fault::LogSlow => self.log_delay = LATENCY,
            Fault::ListStale => self.stale_list = None,
            Fault::ListDown => self.vms.set_down(false),
            _ => {}
        }
    }
}
