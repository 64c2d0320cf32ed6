//! The faults that can be injected into a simulated fleet.

use std::time::Duration;

use super::Node;
use crate::run_target::TargetImpairment;

/// Directions in which a connection goes silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// In both directions.
    BothWays,
    /// Towards the entry that accepted the connection.
    ToEntry,
    /// From the entry that accepted the connection.
    FromEntry,
}

/// A fault; a `Duration` is its length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetFault {
    /// A process is killed and restarts 300 ms later.
    Kill(Node),
    /// A process loses power, without closing its connections, and restarts 900 ms later.
    PowerOff(Node),
    /// A process loses power and restarts after this time.
    PowerOffFor(Node, Duration),
    /// A process stalls.
    Freeze(Node, Duration),
    /// The VM of a process is suspended; an agent's target is suspended too.
    Suspend(Node, Duration),
    /// A process is partitioned from all others.
    Cut(Node, Duration),
    /// Two processes are partitioned from each other.
    CutBetween(Node, Node, Duration),
    /// An entry is partitioned from its callers for the first duration. Bytes that are sent meanwhile arrive
    /// at the next retransmission, and a close arrives later than the bytes before it by the second.
    CutCallers(usize, Duration, Duration),
    /// Packets from one process to another wait, and new connections fail; the other way works.
    CutOneWay(Node, Node, Duration),
    /// This percentage of a process's packets arrives only after a retransmission.
    Lossy(Node, u32, Duration),
    /// The open connections between two processes go silent for good, while new ones work.
    SilenceBetween(Node, Node, Silence),
    /// This percentage of a process's open connections goes silent for good, while new ones work.
    SilenceLinks(Node, u32, Silence),
    /// All open connections go silent for good, while new ones work.
    SilenceAll(Silence),
    /// All connections of a process are reset, including its callers'.
    Reset(Node),
    /// A process drains and exits, then restarts.
    Drain(Node),
    /// A target crashes; its next incarnation has another name and reports 200 ms later.
    Crash(usize),
    /// A target crashes; its next incarnation has the same name and reports 200 ms later.
    Restart(usize),
    /// A target crashes, and 50 ms later its next incarnation reports, under another name and of the
    /// other kind.
    ChangeKind(usize),
    /// A target's process exits and restarts 100 ms later under its name, with this percentage of its
    /// capacity. It takes calls from then on, but first reports after this time.
    RestartUnreported(usize, u32, Duration),
    /// A target loses power; its next incarnation reports after this time, under the same name if set.
    LosePower(usize, bool, Duration),
    /// Like `Restart`, but the VM refuses connections meanwhile: only the target's process is gone.
    Exit(usize),
    /// A target's capacity is this percentage of the original; its next report says so.
    Resize(usize, u32, Duration),
    /// A target is impaired.
    Trouble(usize, TargetImpairment, Duration),
    /// Half of the orders to a target go unanswered and are carried out seconds later.
    LateOrders(usize, Duration),
    /// Most orders to a target go unanswered and are carried out later, in any order. The first
    /// duration is the longest delay, the second the fault's length.
    ScatteredOrders(usize, Duration, Duration),
    /// Answers of a target take random times, so that they overtake one another and some come too
    /// late.
    ScatteredAnswers(usize, Duration),
    /// All stops to a target go unanswered and are carried out at the end of the fault.
    LateStops(usize, Duration),
    /// A target's reports are repeated seconds later; half of them arrive only then.
    LateReports(usize, Duration),
    /// A foreign writer sends a readable report along with each report of a target.
    ForeignReports(usize, Duration),
    /// A target announces that it is leaving.
    Leave(usize),
    /// The wall clock that fencing tokens derive from is set back by an hour.
    ClockBack,
    /// The wall clock that fencing tokens derive from is stepped by this many milliseconds.
    ClockStep(i64),
    /// Operators evacuate a data hall.
    Evacuate(usize),
    /// Operators withdraw the evacuation of a data hall.
    GiveBack(usize),
    /// A process can't reach the store.
    StoreCut(Node, Duration),
    /// The store answers no process.
    StoreDown(Duration),
}
