//! Runs that may outlast their owner: announcements to the other entries, and the target's lease.

use trestleknot_lib::run_message::{NoticeNumber, RunsNotice};

use super::*;

const OWNER: u64 = 9;
const OTHER: u64 = 10;
const SECOND: SessionId = 2;
/// When the owner writes its last packet.
const LAST_PACKET: Now = ms(20);

fn timings() -> Timings {
    Timings::default()
}

fn packet_on(link: SessionId, at: Now, orders: Vec<Order>) -> AgentEvent {
    let lease_until = at + timings().entry_lease;
    AgentEvent::Packet(
        link,
        EntryPacket {
            lease_until: lease_until.as_millis() as u64,
            store_heard: 0,
            waiting: 0,
            orders,
        },
    )
}

fn welcome(life: u64, protocol: u32) -> Order {
    welcome_with(life, protocol, Vec::new())
}

fn welcome_with(life: u64, protocol: u32, claims: Vec<(RunKey, Resources)>) -> Order {
    Order::Welcome(Welcome {
        name: format!("entry-{life}").into(),
        life,
        entries: Vec::new(),
        claims,
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol,
    })
}

/// An agent whose target answers renewals within 10 ms, on a clock that is 1 s ahead.
struct Fixture {
    agent: RunAgentCore,
    now: Now,
    /// Renewals that the target hasn't answered.
    open: Vec<u64>,
    /// Whether the target lists the run as running.
    has_run: bool,
    /// All actions since they were last taken.
    actions: Vec<AgentAction>,
}

impl Fixture {
    /// An agent with a run of the first entry, which falls silent after [`LAST_PACKET`]. The second
    /// entry understands messages of this protocol version.
    fn new(protocol: u32) -> Self {
        let mut fixture = Self {
            agent: ready_agent_of(welcome_packet(LINK, ms(4), OWNER, 2)),
            now: ms(5),
            open: Vec::new(),
            has_run: true,
            actions: Vec::new(),
        };
        fixture.handle(AgentEvent::LinkUp(SECOND, address(2)));
        fixture.handle(welcome_packet(SECOND, ms(5), OTHER, protocol));
        fixture.now = LAST_PACKET;
        fixture.hear(LINK, vec![start(0, 500)]);
        fixture.handle(AgentEvent::StartAnswered {
            key: key(0),
            token: 100,
            answer: StartAnswer::Started { clock: 1_020 },
        });
        fixture
    }

    /// An agent that has just found the run in its target's lists, and knows no entry but the second.
    fn adopting() -> Self {
        let mut agent = RunAgentCore::new(Now::ZERO, options());
        let actions = agent.handle(ms(1), report("life-1", false, 1));
        let (number, _) = incarnation_checks(&actions)[0];
        let alive = incarnation_checked(number, IncarnationAnswer::Alive(None));
        let actions = agent.handle(ms(1), alive);
        let mut fixture = Self {
            agent,
            now: ms(2),
            open: renewals(&actions),
            has_run: true,
            actions: Vec::new(),
        };
        fixture.answer_renewals();
        fixture.handle(AgentEvent::LinkUp(SECOND, address(2)));
        fixture.handle(welcome_packet(SECOND, ms(2), OTHER, 2));
        fixture.handle(AgentEvent::LinkUp(LINK, address(1)));
        fixture
    }

    fn handle(&mut self, event: AgentEvent) {
        let actions = self.agent.handle(self.now, event);
        self.open.extend(renewals(&actions));
        self.actions.extend(actions);
    }

    /// Handles a packet that an entry writes now.
    fn hear(&mut self, link: SessionId, orders: Vec<Order>) {
        self.handle(packet_on(link, self.now, orders));
    }

    fn answer_renewals(&mut self) {
        let run = ListedRun {
            key: key(0),
            percent: 1,
        };
        let end = (1, key(0), RunEnd::Done);
        for number in std::mem::take(&mut self.open) {
            let answer = RenewalAnswer::Lists {
                born: None,
                clock: 1_000 + self.now.as_millis() as u64,
                running: self.has_run.then_some(run).into_iter().collect(),
                ended: (!self.has_run).then_some(end).into_iter().collect(),
            };
            self.handle(AgentEvent::RenewalAnswered { number, answer });
        }
    }

    /// Lets time pass, in which the second entry keeps sending.
    fn pass_until(&mut self, until: Now) {
        while self.now < until {
            self.now += ms(10);
            self.answer_renewals();
            self.hear(SECOND, Vec::new());
        }
    }

    fn take_notices(&mut self, on: SessionId) -> Vec<(RunsNotice, bool)> {
        notices(&std::mem::take(&mut self.actions), on)
    }

    /// The latest end of a lease since the actions were last taken, on the agent's clock.
    fn latest_lease(&self) -> Option<Now> {
        let ends = self.actions.iter().filter_map(|a| match a {
            AgentAction::Renew { renewal, .. } => renewal.until,
            _ => None,
        });
        ends.max().map(|until| ms(until - 1_000))
    }
}

/// When the agent announces the runs of the silent entry.
fn suspect_at() -> Now {
    LAST_PACKET + timings().suspect_after
}

fn welcome_packet(link: SessionId, at: Now, life: u64, protocol: u32) -> AgentEvent {
    packet_on(link, at, vec![welcome(life, protocol)])
}

/// Announcements and their ends on a link, in order.
fn notices(actions: &[AgentAction], on: SessionId) -> Vec<(RunsNotice, bool)> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(link, packet) if *link == on => Some(packet),
        _ => None,
    });
    let notices = sent.flat_map(|p| &p.news).filter_map(|news| match news {
        AgentNews::RunsLeft(notice) => Some((*notice, true)),
        AgentNews::RunsOver(notice) => Some((*notice, false)),
        _ => None,
    });
    notices.collect()
}

fn notice(number: NoticeNumber) -> RunsNotice {
    RunsNotice {
        batch: 5,
        holder: 7,
        owner: OWNER,
        number,
    }
}

// Guards against leases that outlast the return of a lost entry's callers. An entry that has noted the
// batch changes nothing: it may be lost too, or cut off from the one that a caller reaches.
#[test]
fn test_handle_lease_ends_before_callers_return() {
    for is_noted in [false, true] {
        let mut fixture = Fixture::new(2);
        fixture.pass_until(suspect_at());
        assert_eq!(fixture.take_notices(SECOND), [(notice(1), true)]);
        if is_noted {
            for link in [LINK, SECOND] {
                let noted = vec![Order::RunsNoted(vec![1])];
                fixture.handle(packet_on(link, LAST_PACKET, noted));
            }
        }
        fixture.pass_until(ms(2_500));
        let latest = fixture.latest_lease().expect("the lease is renewed");
        assert!(latest > suspect_at(), "{latest:?}");
        // The target's clock may be 2% slow from the last renewal on.
        let ends_by = LAST_PACKET + timings().unrenewed_run_bound;
        let lapsed_by = latest + timings().lapse_overhead;
        assert!(lapsed_by <= ends_by, "noted: {is_noted}, {latest:?}");
        assert_eq!(fixture.agent.gauges().runs, 0, "the run must have lapsed");
        assert_eq!(fixture.take_notices(SECOND), [(notice(1), false)]);
    }
}

// Guards against a lapse of all runs on the target because few stops of an orphaned run fit in the time
// until its lease must end.
#[test]
fn test_handle_stops_of_orphaned_run_are_sent_more_often() {
    let mut fixture = Fixture::new(2);
    let orphaned_at = LAST_PACKET + timings().entry_lease;
    fixture.pass_until(LAST_PACKET + timings().unrenewed_run_bound - timings().lapse_overhead);
    let is_stop = |a: &&AgentAction| matches!(a, AgentAction::Stop { .. });
    let stops = fixture.actions.iter().filter(is_stop).count() as u32;
    let time = fixture.now - orphaned_at;
    let interval = timings().stop_retry_interval / 2;
    assert!(interval * stops >= time - ms(10), "{stops} in {time:?}");
}

#[test]
fn test_handle_end_of_announced_run_is_told() {
    let mut fixture = Fixture::new(2);
    fixture.pass_until(suspect_at());
    assert_eq!(fixture.take_notices(SECOND), [(notice(1), true)]);
    fixture.has_run = false;
    fixture.pass_until(suspect_at() + ms(500));
    assert_eq!(fixture.take_notices(SECOND), [(notice(1), false)]);
}

#[test]
fn test_handle_entry_that_links_later_is_told_of_open_announcements() {
    let mut fixture = Fixture::new(2);
    fixture.pass_until(suspect_at());
    fixture.handle(AgentEvent::LinkUp(3, address(3)));
    fixture.handle(welcome_packet(3, fixture.now, 11, 2));
    assert_eq!(fixture.take_notices(3), [(notice(1), true)]);
}

#[test]
fn test_handle_entry_that_speaks_again_is_announced_anew_at_its_next_silence() {
    let mut fixture = Fixture::new(2);
    fixture.pass_until(suspect_at());
    fixture.hear(SECOND, vec![Order::RunsNoted(vec![1])]);
    fixture.pass_until(suspect_at() + ms(50));
    fixture.take_notices(SECOND);
    let heard = fixture.now;
    fixture.hear(LINK, Vec::new());
    fixture.pass_until(heard + timings().suspect_after - ms(10));
    let latest = fixture.latest_lease().expect("the lease is renewed");
    assert!(latest < heard + timings().unrenewed_run_bound, "{latest:?}");
    assert_eq!(fixture.take_notices(SECOND), []);
    fixture.pass_until(heard + timings().suspect_after);
    assert_eq!(fixture.take_notices(SECOND), [(notice(2), true)]);
}

#[test]
fn test_handle_run_whose_stop_is_lost_is_announced_although_its_entry_speaks() {
    // The entry may be unable to tell the others that it closes the batch.
    let mut fixture = Fixture::new(2);
    fixture.hear(LINK, vec![Order::Stop(vec![key(0)])]);
    fixture.pass_until(LAST_PACKET + timings().stop_retry_interval * 2);
    assert_eq!(fixture.take_notices(SECOND), [(notice(1), true)]);
}

/// Orders a stop that the target never carries out, on a new link if `relinked`, and returns when the
/// owner wrote the packet before that order. The owner goes on sending.
fn order_lost_stop(fixture: &mut Fixture, relinked: bool) -> Now {
    let wanted_at = fixture.now;
    let mut link = LINK;
    let mut orders = vec![Order::Stop(vec![key(0)])];
    fixture.pass_until(wanted_at + ms(200));
    if relinked {
        link = 3;
        fixture.handle(AgentEvent::LinkDown(LINK));
        fixture.handle(AgentEvent::LinkUp(link, address(1)));
        let claim = welcome_with(OWNER, 2, vec![(key(0), SIZE)]);
        orders.insert(0, claim);
    }
    fixture.hear(link, orders);
    fixture.actions.clear();
    while fixture.now < wanted_at + ms(2_500) {
        fixture.pass_until(fixture.now + ms(10));
        fixture.hear(link, Vec::new());
    }
    wanted_at
}

// Guards against a run that its entry stops because its caller has left, but whose lease each packet
// of that entry extends while the stops are lost.
#[test]
fn test_handle_lease_of_run_to_stop_ends_before_its_caller_returns() {
    for relinked in [false, true] {
        let mut fixture = Fixture::new(2);
        let wanted_at = order_lost_stop(&mut fixture, relinked);
        let latest = fixture.latest_lease().expect("the lease is renewed");
        let ends_by = wanted_at + timings().unrenewed_run_bound;
        assert!(
            latest + timings().lapse_overhead <= ends_by,
            "relinked: {relinked}, {latest:?}"
        );
        assert_eq!(fixture.agent.gauges().runs, 0, "the run must have lapsed");
    }
}

// Guards against a lease that an agent extends although its former incarnation may have been told to
// stop the run: nothing shows since when the caller has been gone.
#[test]
fn test_handle_lease_of_adopted_run_to_stop_is_not_extended() {
    let mut fixture = Fixture::adopting();
    fixture.take_notices(SECOND);
    let orders = vec![
        welcome_with(OWNER, 2, vec![(key(0), SIZE)]),
        Order::Stop(vec![key(0)]),
    ];
    fixture.hear(LINK, orders);
    for _ in 0..50 {
        fixture.pass_until(fixture.now + ms(10));
        fixture.hear(LINK, Vec::new());
    }
    assert_eq!(fixture.latest_lease(), None);
}

#[test]
fn test_handle_entry_of_an_older_protocol_gets_no_announcement() {
    let mut fixture = Fixture::new(1);
    fixture.pass_until(suspect_at() + ms(50));
    assert_eq!(fixture.take_notices(SECOND), []);
}

// Guards against the lapse of all runs on a target: while a run must be stopped and nobody knows since
// when, no lease is extended, and lost stops have to be repeated soon.
#[test]
fn test_handle_stop_that_keeps_the_lease_from_being_extended_is_repeated_soon() {
    let mut fixture = Fixture::adopting();
    let orders = vec![
        welcome_with(OWNER, 2, vec![(key(0), SIZE)]),
        Order::Stop(vec![key(0)]),
    ];
    fixture.hear(LINK, orders);
    let from = fixture.now;
    let is_stop = |a: &&AgentAction| matches!(a, AgentAction::Stop { .. });
    let before = fixture.actions.iter().filter(is_stop).count();
    while fixture.now < from + ms(500) {
        fixture.pass_until(fixture.now + ms(10));
        fixture.hear(LINK, Vec::new());
    }
    let repeated = fixture.actions.iter().filter(is_stop).count() - before;
    assert!(repeated >= 8, "{repeated} in 0.5 s");
}

/// Number of times that the agent has said on a link that its runs are listed.
fn listings(actions: &[AgentAction], on: SessionId) -> usize {
    let news = actions.iter().filter_map(|action| match action {
        AgentAction::Send(link, packet) if *link == on => Some(&packet.news),
        _ => None,
    });
    let listings = news.flatten().filter(|n| **n == AgentNews::RunsListed);
    listings.count()
}

// Guards against an entry that takes the runs of a restarted agent for known while one without owner goes on.
#[test]
fn test_handle_runs_count_as_listed_once_each_has_an_owner() {
    let mut fixture = Fixture::adopting();
    fixture.hear(SECOND, vec![welcome(OTHER, 4)]);
    assert_eq!(listings(&fixture.actions, SECOND), 0);
    fixture.hear(LINK, vec![welcome_with(OWNER, 4, vec![(key(0), SIZE)])]);
    assert_eq!(listings(&fixture.actions, SECOND), 1);
    assert_eq!(listings(&fixture.actions, LINK), 1);
    fixture.hear(SECOND, Vec::new());
    assert_eq!(listings(&fixture.actions, SECOND), 1);
}

#[test]
fn test_handle_entry_of_an_older_build_is_not_told_of_listed_runs() {
    let fixture = Fixture::new(3);
    assert_eq!(listings(&fixture.actions, SECOND), 0);
    let fixture = Fixture::new(4);
    assert_eq!(listings(&fixture.actions, SECOND), 1);
}
