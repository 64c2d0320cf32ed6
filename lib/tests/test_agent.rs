//! The agent's core: which dispatches it refuses, and when it may stop.

use std::time::Duration;

use trestleknot_lib::agent::{AgentAction, AgentCore, AgentEvent, AgentOptions, RunEnd, RunId};
use trestleknot_lib::config_chain::ConfigStamp;
use trestleknot_lib::ids::JobId;
use trestleknot_lib::job::{TaskOutcome, TaskSpec};
use trestleknot_lib::message::{
    AgentMessage, Capacity, Dispatch, DispatchFate, DispatchRefusal, EntryMessage, Frame, Welcome,
};
use trestleknot_lib::placement::PlacementMode;

const ENTRY: u64 = 9;
const SECOND: Duration = Duration::from_secs(1);

struct AgentHarness {
    core: AgentCore,
    now: Duration,
    sent: u64,
    session: u64,
}

impl AgentHarness {
    fn new() -> Self {
        let core = AgentCore::new(AgentOptions {
            name: "target".into(),
            incarnation: 5,
            hall: "hall".into(),
            capacity: Capacity {
                slots: 2,
                memory_mib: 100,
                accelerators: 1,
            },
            entries: Vec::new(),
            drain_limit: 30 * SECOND,
        });
        let mut agent = Self {
            core,
            now: SECOND,
            sent: 0,
            session: 0,
        };
        agent.connect(false, Vec::new());
        agent
    }

    fn connect(&mut self, resume: bool, outstanding: Vec<u64>) -> Vec<AgentMessage> {
        self.session += 1;
        self.sent = 0;
        self.event(AgentEvent::EntryConnected(self.session));
        self.deliver(EntryMessage::Welcome(Welcome {
            name: "entry".into(),
            incarnation: ENTRY,
            placement: PlacementMode::SlotGrants,
            resume,
            settled_below: outstanding.first().copied().unwrap_or(1),
            outstanding,
            config: ConfigStamp::default(),
            entries: Vec::new(),
            heartbeat_ms: 1_000,
        }))
    }

    fn event(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        self.core.handle(self.now, event)
    }

    fn deliver(&mut self, message: EntryMessage) -> Vec<AgentMessage> {
        self.sent += 1;
        let frame = Frame {
            n: self.sent,
            messages: vec![message],
        };
        let session = self.session;
        messages_of(self.event(AgentEvent::EntryFrame { session, frame }))
    }

    fn dispatch(&mut self, seq: u64, memory_mib: u32) -> Vec<AgentMessage> {
        self.deliver(EntryMessage::Dispatch(Dispatch {
            seq,
            settled_below: 1,
            job: JobId {
                entry: ENTRY,
                seq: 1,
            },
            task: seq as u16,
            spec: TaskSpec {
                kind: "work".into(),
                payload: "".into(),
                expected_ms: 0,
                memory_mib,
                accelerators: 0,
            },
            waiting: 0,
            trace: None,
        }))
    }

    fn end(&mut self, run: RunId, end: RunEnd) -> Vec<AgentMessage> {
        messages_of(self.event(AgentEvent::RunEnded { run, end }))
    }

    /// Advances the clock in ticks; returns true if the core asked to stop.
    fn advance(&mut self, length: Duration) -> bool {
        let end = self.now + length;
        let mut stops = false;
        while self.now < end {
            self.now += Duration::from_millis(100);
            let actions = self.event(AgentEvent::Tick);
            stops |= actions.iter().any(|a| matches!(a, AgentAction::Stop));
        }
        stops
    }
}

fn messages_of(actions: Vec<AgentAction>) -> Vec<AgentMessage> {
    let frames = actions.into_iter().filter_map(|action| match action {
        AgentAction::SendEntry { frame, .. } => Some(frame.messages),
        _ => None,
    });
    frames.flatten().collect()
}

fn refusal_of(messages: &[AgentMessage]) -> Option<DispatchRefusal> {
    messages.iter().find_map(|message| match message {
        AgentMessage::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

#[test]
fn test_dispatch_refused_by_case() {
    let mut full = AgentHarness::new();
    assert_eq!(refusal_of(&full.dispatch(1, 10)), None);
    assert_eq!(refusal_of(&full.dispatch(2, 10)), None);
    assert_eq!(
        refusal_of(&full.dispatch(3, 10)),
        Some(DispatchRefusal::Full)
    );

    let mut large = AgentHarness::new();
    assert_eq!(
        refusal_of(&large.dispatch(1, 101)),
        Some(DispatchRefusal::Resources)
    );

    let mut leaving = AgentHarness::new();
    leaving.event(AgentEvent::Drain);
    assert_eq!(
        refusal_of(&leaving.dispatch(1, 10)),
        Some(DispatchRefusal::Leaving)
    );

    let mut down = AgentHarness::new();
    down.dispatch(1, 10);
    let ended = down.end(1, RunEnd::NotStarted);
    assert_eq!(refusal_of(&ended), Some(DispatchRefusal::TargetDown));
    assert_eq!(
        refusal_of(&down.dispatch(2, 10)),
        Some(DispatchRefusal::TargetDown)
    );
}

#[test]
fn test_dispatch_copy_starts_nothing() {
    let mut agent = AgentHarness::new();
    agent.dispatch(1, 10);
    agent.dispatch(1, 10);
    assert_eq!(agent.core.running(), 1);
}

#[test]
fn test_resume_refuses_unseen_dispatches_for_good() {
    let mut agent = AgentHarness::new();
    agent.dispatch(1, 10);
    agent.event(AgentEvent::EntryClosed(1));
    let messages = agent.connect(true, vec![1, 2]);
    let fates = messages.into_iter().find_map(|message| match message {
        AgentMessage::Reconciled(fates) => Some(fates),
        _ => None,
    });
    let fates: Vec<DispatchFate> = fates
        .expect("the fates are reported")
        .into_iter()
        .map(|f| f.fate)
        .collect();
    let never_seen = DispatchFate::Refused(DispatchRefusal::NeverSeen);
    assert_eq!(fates, [DispatchFate::Running, never_seen]);
    agent.dispatch(2, 10);
    assert_eq!(agent.core.running(), 1, "a late copy starts nothing");
}

#[test]
fn test_drain_waits_for_results_to_be_settled() {
    let mut agent = AgentHarness::new();
    agent.dispatch(1, 10);
    agent.event(AgentEvent::Drain);
    let outcome = TaskOutcome::Succeeded("done".into());
    agent.end(1, RunEnd::Ended(outcome));
    assert!(
        !agent.advance(2 * SECOND),
        "the result may not have arrived"
    );
    agent.deliver(EntryMessage::Heartbeat { settled_below: 2 });
    assert!(!agent.advance(SECOND), "a dispatch may be on its way");
    agent.deliver(EntryMessage::Released { settled_below: 2 });
    assert!(agent.advance(SECOND));
}

#[test]
fn test_pause_drops_the_backlog() {
    let mut agent = AgentHarness::new();
    agent.now += 5 * SECOND;
    agent.dispatch(1, 10);
    assert_eq!(
        agent.core.running(),
        0,
        "dispatches queued during the pause are stale"
    );
}
