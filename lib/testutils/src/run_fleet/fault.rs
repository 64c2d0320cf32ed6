//! What may go wrong in the virtual fleet.

use std::time::Duration;

use super::Node;
use crate::run_target::TargetImpairment;

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetFault {
    /// A process is killed and starts again 300 ms later.
    Kill(Node),
    /// The same, but its connections say nothing.
    PowerOff(Node),
    /// The same for so long.
    PowerOffFor(Node, Duration),
    /// A process stands still.
    Freeze(Node, Duration),
    /// The VM of a process is suspended, its target with it.
    Suspend(Node, Duration),
    /// A process is cut off from all others.
    Cut(Node, Duration),
    /// All connections of a process are reset, its callers' as well.
    Reset(Node),
    /// A process is told to stop, and starts again once it has.
    Drain(Node),
    /// A target dies; its next life has another name and reports 200 ms later.
    Crash(usize),
    /// A target dies; its next life has its name and reports 200 ms later.
    Restart(usize),
    /// A target has so many percent of its room for a while, and says so with its next report.
    Resize(usize, u32, Duration),
    /// A target is in trouble for a while.
    Trouble(usize, TargetImpairment, Duration),
    /// Half of the orders to a target are not answered for a while, and carried out seconds later.
    LateOrders(usize, Duration),
    /// A target's reports come again seconds later for a while, and half of them only then.
    LateReports(usize, Duration),
    /// Beside each report of a target, another writer sends one that can be read and is not the
    /// target's, for a while.
    ForeignReports(usize, Duration),
    /// A target says that it leaves.
    Leave(usize),
    /// The time of day from which tokens come is set back by an hour.
    ClockBack,
    /// A data hall is evacuated.
    Evacuate(usize),
    /// A data hall is given back.
    GiveBack(usize),
    /// A process is cut off from the store.
    StoreCut(Node, Duration),
    /// The store answers nobody.
    StoreDown(Duration),
}
