//! Numbered log events. docs/EVENTS.md lists them; a test compares it with this table.

use log::Level;

/// Number, level and text of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventInfo {
    /// Code of the event.
    pub code: EventCode,
    /// Number in the catalogue.
    pub number: u16,
    /// Log level.
    pub level: Level,
    /// Description of the event.
    pub text: &'static str,
}

/// An event to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// Code of the event.
    pub code: EventCode,
    /// Details, such as the process or run concerned.
    pub detail: String,
}

impl LogEvent {
    /// Creates an event.
    pub fn new(code: EventCode, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { code, detail }
    }

    /// Writes the event to the log.
    pub fn emit(&self) {
        let info = self.code.info();
        log::log!(target: "trestleknot", info.level, event = info.number; "{}: {}", info.text, self.detail);
    }
}

macro_rules! catalogue {
    ($($code:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Names of the events.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum EventCode {
            $(#[doc = $text] $code,)*
        }

        /// All events, by number.
        pub const CATALOGUE: &[EventInfo] = &[
            $(EventInfo {
                code: EventCode::$code,
                number: $number,
                level: Level::$level,
                text: $text,
            },)*
        ];
    };
}

catalogue! {
    Started = 1001, Info, "process started";
    Draining = 1002, Info, "drain began";
    Drained = 1003, Info, "drain ended";
    DrainCut = 1004, Warn, "drain reached its limit";
    Resumed = 1005, Warn, "VM resumed after a suspension";
    EntryStarved = 1006, Warn, "entry lacks processor time";
    EntryRecovered = 1007, Info, "entry has enough processor time again";
    InputReadLate = 1008, Warn, "input read too late to renew leases in time";
    ConfigInForce = 1101, Info, "configuration in force";
    ConfigLost = 1102, Info, "configuration change lost to a concurrent change";
    ConfigBehind = 1103, Warn, "a newer configuration is known than the held one";
    ConfigGap = 1104, Warn, "log records expired unread";
    SnapshotSent = 1105, Info, "configuration head written to the log again";
    EvacuationsChanged = 1106, Info, "evacuated data halls changed";
    RecordUnreadable = 1107, Error, "unreadable operator record ignored";
    LogDown = 1201, Warn, "log service does not answer";
    LogUp = 1202, Info, "log service answers again";
    ListDown = 1203, Warn, "VM list does not answer";
    ListUp = 1204, Info, "VM list answers again";
    AgentJoined = 1301, Info, "agent session opened";
    AgentLost = 1302, Warn, "agent session lost";
    AgentLeaving = 1303, Info, "target is leaving";
    AgentGone = 1304, Warn, "agent incarnation ended";
    AgentRefused = 1305, Warn, "agent refused in the handshake";
    SessionGap = 1306, Warn, "session closed after a missing frame";
    PeerJoined = 1401, Info, "peer session opened";
    PeerLost = 1402, Warn, "peer session lost";
    ClosingTold = 1403, Info, "runs of a closing batch are left, the other entries are to hold it";
    ClosingHeard = 1404, Info, "runs of a batch may be left elsewhere, it is held";
    SilentRunsTold = 1405, Info, "silent agents may have runs of a lost entry, the other entries are to hold their batch";
    SilentRunsOver = 1406, Info, "the silent agents with runs of a lost entry are back";
    TargetSetAside = 1501, Warn, "target ejected after failures";
    TargetProbed = 1502, Info, "probe sent to an ejected target";
    TargetReturned = 1503, Info, "target readmitted or its allowance raised";
    TargetDown = 1504, Warn, "target refuses connections";
    TargetUp = 1505, Info, "target accepts connections again";
    EntryJoined = 1601, Info, "entry session opened";
    EntryLost = 1602, Warn, "entry session lost";
    EntryForgotten = 1603, Warn, "entry absent for long, its dispatches forgotten";
    EntryParted = 1604, Info, "surplus link to an entry closed";
    MalformedFrame = 1701, Warn, "session closed after a malformed frame";
    StrangerRefused = 1702, Warn, "connection without the fleet secret refused";
    RingFull = 1703, Error, "ring between threads is full";
    LinesDropped = 1704, Warn, "log lines dropped, limit exceeded";
    StoreDown = 1801, Warn, "the platform's store does not answer";
    StoreUp = 1802, Info, "the platform's store answers again";
    SettingsReload = 1803, Info, "settings file read again";
    EntriesLearnt = 1804, Info, "addresses of entries learnt";
    RequestRejected = 1805, Info, "request rejected before it reached the core";
    BatchAdmitted = 1901, Info, "batch admitted";
    BatchRefused = 1902, Info, "batch refused, nothing of it runs";
    BatchAnswered = 1903, Info, "batch answered";
    BatchClosed = 1904, Info, "batch closed before its answer, its runs are stopped";
    TasksPlaced = 1905, Info, "tasks sent to a target";
    TaskAgain = 1906, Info, "run over without success, its task waits again";
    TaskMoved = 1907, Info, "slow run stopped, to go on elsewhere";
    TaskSuspected = 1908, Warn, "target crashed during a run, its task is suspected";
    TaskGivenUp = 1909, Warn, "task given up, its runs crashed targets";
    HandedOver = 1910, Info, "batch handed over to another entry";
    TakenOver = 1911, Info, "batch taken over from another entry";
    HandOverDeclined = 1912, Info, "offer of a batch declined, nothing of it runs";
    HandOverReleased = 1913, Info, "batch that was handed over released, its runs are stopped";
    HandOverAnswered = 1914, Info, "answer of a batch taken over sent to its giver";
    BatchHeld = 1915, Info, "new batch held, runs of an earlier attempt may be left elsewhere";
    RunsLeftHeardLate = 1916, Warn, "runs of a batch may be left elsewhere, but its tasks were already started here";
    CancelRemembered = 1917, Info, "cancel of a batch that is not held here, remembered and passed on";
    ClaimRefused = 1918, Info, "another entry may hold a batch, it does not start here";
    ClaimUnanswered = 1919, Info, "witness of a batch does not answer, the batch starts";
    CrashesKnown = 1920, Warn, "new batch whose earlier runs crashed targets, its tasks begin as suspects";
    TargetReported = 2001, Info, "target reported its state";
    TargetLeaving = 2002, Info, "target says that it leaves";
    TargetLifeOver = 2003, Warn, "target incarnation ended";
    TargetListsRead = 2004, Info, "target's lists read for the first time";
    TargetLifeReported = 2005, Info, "another target incarnation reported, it is queried";
    ReportPassedOver = 2006, Warn, "target report ignored, it is outdated or of another service";
    EndPassedOver = 2007, Warn, "end of an open run ignored, its number was seen before";
    TargetGoodbye = 2008, Info, "target sent a goodbye, it is closed until it answers again";
    ReportUnreadable = 2009, Warn, "unreadable report or goodbye of another writer ignored";
    RunNotStarted = 2101, Info, "start led to no run";
    RunEnded = 2102, Info, "run ended";
    RunAdopted = 2103, Info, "run of an earlier agent incarnation adopted";
    RunSlow = 2104, Info, "run is far slower than its estimate";
    RunOrphaned = 2105, Info, "orphaned run stopped";
    StartUnanswered = 2106, Warn, "start not answered, a new fencing token invalidates it";
    TargetCallFailed = 2107, Info, "call to the target got no answer";
    RunReleased = 2108, Info, "run stopped, its guarantor released the batch";
    RunsAnnounced = 2109, Info, "entries told that runs of a batch may outlast their entry";
    EndedRunListed = 2110, Error, "target lists a run that was reported as ended";
    AnswerWithheld = 2111, Warn, "answer about a run withheld, another run of its task goes on";
    EndsForced = 2112, Warn, "ends acknowledged before their time, too many are listed";
}

impl EventCode {
    /// Returns the code's entry in the catalogue.
    pub fn info(self) -> &'static EventInfo {
        // The macro lists the codes and the catalogue in the same order.
        &CATALOGUE[self as usize]
    }
}
