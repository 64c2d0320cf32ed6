//! Faults and the steps at which they are injected.

use std::time::Duration;

/// A fault. Lasting ones end after [`crate::virtual_fleet::FAULT_LENGTH`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The entry's process dies and restarts.
    EntryDies,
    /// The agent's process dies and restarts; its tasks run until their leases lapse.
    AgentDies,
    /// The VM of a target dies together with its agent and is replaced.
    TargetDies,
    /// The target refuses connections.
    TargetRefuses,
    /// Frames between the entry and the agent are lost.
    CutBothWays,
    /// Frames from the entry to the agent are lost.
    CutToAgent,
    /// Frames from the agent to the entry are lost.
    CutToEntry,
    /// The connection breaks and is dialled again.
    SessionBreaks,
    /// The next frame is lost.
    FrameLost,
    /// The next two frames arrive twice.
    FrameDoubled,
    /// The next frame is delayed.
    FrameLate,
    /// The next frame is overtaken by the following one.
    FramesReordered,
    /// The entry's process stalls for longer than a lease.
    EntryPauses,
    /// The agent's process stalls for longer than a lease.
    AgentPauses,
    /// The entry's clock steps forward by an hour.
    EntryClockSteps,
    /// The agent's clock steps forward by an hour.
    AgentClockSteps,
    /// The log does not answer.
    LogDown,
    /// The log answers late.
    LogSlow,
    /// Appends to the log take effect, but the replies are lost.
    LogRepliesLost,
    /// All records older than the log's retention expire.
    LogExpires,
    /// The VM list is outdated.
    ListStale,
    /// The VM list does not answer.
    ListDown,
}

/// All faults.
pub const FAULTS: [Fault; 22] = [
    Fault::EntryDies,
    Fault::AgentDies,
    Fault::TargetDies,
    Fault::TargetRefuses,
    Fault::CutBothWays,
    Fault::CutToAgent,
    Fault::CutToEntry,
    Fault::SessionBreaks,
    Fault::FrameLost,
    Fault::FrameDoubled,
    Fault::FrameLate,
    Fault::FramesReordered,
    Fault::EntryPauses,
    Fault::AgentPauses,
    Fault::EntryClockSteps,
    Fault::AgentClockSteps,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LogRepliesLost,
    Fault::LogExpires,
    Fault::ListStale,
    Fault::ListDown,
];

/// A step in the life cycle of a job, a configuration, a drain or a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// A request has left its caller.
    Submitted,
    /// An entry has admitted the request.
    Admitted,
    /// The claim on its permit is about to be sent.
    PermitClaimed,
    /// A dispatch is about to be sent.
    Dispatched,
    /// A dispatch has been sent but not received.
    Received,
    /// A task has started on its target.
    Started,
    /// A task has ended on its target.
    Finished,
    /// A result is about to be sent.
    ResultSent,
    /// The caller has been answered.
    Answered,
    /// A configuration change has been appended to the log.
    ConfigAppended,
    /// An entry is about to receive records of the log.
    ConfigRead,
    /// A configuration change is in force at an entry.
    ConfigInForce,
    /// A drain has begun.
    DrainBegun,
    /// A drain has ended.
    DrainEnded,
    /// A session has been lost.
    SessionLost,
    /// A session has been established again.
    SessionResumed,
}

/// All steps.
pub const STEPS: [Step; 16] = [
    Step::Submitted,
    Step::Admitted,
    Step::PermitClaimed,
    Step::Dispatched,
    Step::Received,
    Step::Started,
    Step::Finished,
    Step::ResultSent,
    Step::Answered,
    Step::ConfigAppended,
    Step::ConfigRead,
    Step::ConfigInForce,
    Step::DrainBegun,
    Step::DrainEnded,
    Step::SessionLost,
    Step::SessionResumed,
];

/// A fault and the step at which it is injected.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub step: Step,
    /// Earliest time of the injection.
    pub not_before: Duration,
    pub fault: Fault,
    /// Whether it has been injected.
    pub injected: bool,
}

impl PlannedFault {
    /// A fault that is injected when `step` is first reached at or after `not_before`.
    pub fn at(step: Step, not_before: Duration, fault: Fault) -> Self {
        Self {
            step,
            not_before,
            fault,
            injected: false,
        }
    }
}
