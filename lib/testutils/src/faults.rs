//! The faults of the brief and the steps at which they strike.

use std::time::Duration;

/// A fault. Those that last do so for [`crate::virtual_fleet::FAULT_LENGTH`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The entry's process dies and a new life begins.
    EntryDies,
    /// The agent's process dies and a new life begins; its tasks run on until their leases end.
    AgentDies,
    /// The VM of a target dies with its agent and is replaced.
    TargetDies,
    /// The target refuses connections.
    TargetRefuses,
    /// Nothing passes between the entry and the agent.
    CutBothWays,
    /// Nothing passes from the entry to the agent.
    CutToAgent,
    /// Nothing passes from the agent to the entry.
    CutToEntry,
    /// The connection breaks and is made again.
    SessionBreaks,
    /// The next frame is lost.
    FrameLost,
    /// The next frames arrive twice.
    FrameDoubled,
    /// The next frame is late.
    FrameLate,
    /// The next frame is overtaken by the one after it.
    FramesReordered,
    /// The entry's process stands still for longer than a lease.
    EntryPauses,
    /// The agent's process stands still for longer than a lease.
    AgentPauses,
    /// The entry's clock steps an hour.
    EntryClockSteps,
    /// The agent's clock steps an hour.
    AgentClockSteps,
    /// The log does not answer.
    LogDown,
    /// The log answers late.
    LogSlow,
    /// Appends take effect without a reply.
    LogRepliesLost,
    /// All records of the log expire that are older than its retention.
    LogExpires,
    /// The VM list shows what was.
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

/// A step of a job's, a configuration's, a drain's or a session's way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// A request has left its caller.
    Submitted,
    /// An entry has let it in.
    Admitted,
    /// The claim on its permit goes out.
    PermitClaimed,
    /// A dispatch is about to go out.
    Dispatched,
    /// A dispatch is on its way to being received.
    Received,
    /// A task has started on its target.
    Started,
    /// A task has ended on its target.
    Finished,
    /// A result is about to go out.
    ResultSent,
    /// The caller has been answered.
    Answered,
    /// A change has been appended.
    ConfigAppended,
    /// An entry is about to read a change.
    ConfigRead,
    /// A change is in force at an entry.
    ConfigInForce,
    /// A drain has begun.
    DrainBegun,
    /// A drain has ended.
    DrainEnded,
    /// A session has been lost.
    SessionLost,
    /// A session has been made again.
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

/// A fault and when it strikes.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// At this step.
    pub step: Step,
    /// Not before this time.
    pub not_before: Duration,
    /// This fault.
    pub fault: Fault,
    /// Whether it has struck.
    pub struck: bool,
}

impl PlannedFault {
    /// A fault at the first time that a step is reached after the fleet has found itself.
    pub fn at(step: Step, not_before: Duration, fault: Fault) -> Self {
        Self {
            step,
            not_before,
            fault,
            struck: false,
        }
    }
}
