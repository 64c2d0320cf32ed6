//! Fencing tokens of two lives of an agent, the second of which may begin at any time of day.

use super::*;
use testutils::run_target::{RunTarget, SERVICE, StartRequest};
use trestleknot_lib::run_table::FencingToken;

/// Token of the former life.
const FORMER: FencingToken = 1_000_000;
/// What the target has seen of a third life when it refuses the former one.
const LEAD: FencingToken = 50;

/// What has become of the last orders of the former life when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Orders {
    /// One start has not reached the target yet.
    OnTheWay,
    /// Nor has a second one, sent after the first was not answered.
    Unanswered,
    /// The target had refused the token, so that the start was sent again with a higher one.
    Refused,
}

/// A life of an agent, its calls and the runs that it reported as over or not started.
struct Life {
    agent: RunAgentCore,
    began: Now,
    now: Now,
    answers: Vec<AgentEvent>,
    starts: Vec<StartCall>,
    over: Vec<RunKey>,
}

impl Life {
    /// A life that has read the lists of its target, and is linked to an entry with these claims.
    fn begin(target: &mut RunTarget, now: Now, token: FencingToken, claims: &[RunKey]) -> Self {
        let options = AgentOptions { token, ..options() };
        let mut life = Self {
            agent: RunAgentCore::new(Now::ZERO, options),
            began: now,
            now,
            answers: Vec::new(),
            starts: Vec::new(),
            over: Vec::new(),
        };
        let (info, sequence) = target.report();
        let report = TargetReport { info, sequence };
        life.handle(target, AgentEvent::Report(report), true);
        let welcome = Welcome {
            name: "entry".into(),
            life: 9,
            entries: Vec::new(),
            claims: claims.iter().map(|key| (*key, SIZE)).collect(),
            guarantors: Vec::new(),
            evacuations: Arc::default(),
            protocol: 0,
        };
        life.handle(target, AgentEvent::LinkUp(LINK, address(1)), true);
        life.handle(target, packet(60_000, vec![Order::Welcome(welcome)]), true);
        life
    }

    /// Handles an event. Starts are kept back; all other calls reach the target if `reaches` is set.
    fn handle(&mut self, target: &mut RunTarget, event: AgentEvent, reaches: bool) {
        let now = self.now;
        for action in self.agent.handle(now - self.began, event) {
            match action {
                AgentAction::Renew {
                    renewal,
                    target_name,
                } if reaches => {
                    let number = renewal.number;
                    let answer = ask(target, now, &renewal, target_name.as_deref());
                    let event = AgentEvent::RenewalAnswered { number, answer };
                    self.answers.push(event);
                }
                AgentAction::CheckIncarnation { query, target_name } if reaches => {
                    let number = query.number;
                    let answer = ask(target, now, &query, Some(&target_name)).into();
                    let event = AgentEvent::IncarnationChecked { number, answer };
                    self.answers.push(event);
                }
                AgentAction::Start(call) => self.starts.push(call),
                AgentAction::Send(_, packet) => {
                    let over = packet.news.iter().filter_map(|news| match news {
                        AgentNews::Ended { key, .. } | AgentNews::NotStarted { key, .. } => {
                            Some(*key)
                        }
                        _ => None,
                    });
                    self.over.extend(over);
                }
                _ => {}
            }
        }
    }

    /// Lets time pass; answers take a millisecond.
    fn pass(&mut self, target: &mut RunTarget, millis: u64, reaches: bool) {
        for _ in 0..millis {
            self.now += ms(1);
            for answer in std::mem::take(&mut self.answers) {
                self.handle(target, answer, reaches);
            }
            self.handle(target, AgentEvent::Wake, reaches);
        }
    }
}

fn ask(
    target: &mut RunTarget,
    now: Now,
    renewal: &Renewal,
    target_name: Option<&str>,
) -> RenewalAnswer {
    target.answer_renewal(now, renewal, target_name)
}

fn carry_out(target: &mut RunTarget, now: Now, call: &StartCall) -> StartAnswer {
    let request = StartRequest {
        key: call.key,
        payload: call.payload.clone(),
        until: call.until,
        token: call.token,
        life: Some(call.target_name.clone()),
        born: call.born,
        is_late: true,
    };
    target.start(now, &request)
}

fn start_of_service(index: u16) -> AgentEvent {
    let Order::Start(mut order) = start(index, 50_000) else {
        unreachable!("it is a start");
    };
    order.service = SERVICE.into();
    packet(60_000, vec![Order::Start(order)])
}

/// Plays the former life, and returns when it ended and its starts that the target has not seen.
fn former_life(target: &mut RunTarget, orders: Orders) -> (Now, Vec<StartCall>) {
    let mut life = Life::begin(target, ms(10), FORMER, &[]);
    life.pass(target, 10, true);
    if orders == Orders::Refused {
        target.renew(life.now, FORMER + LEAD, None, 0, None);
    }
    life.handle(target, start_of_service(0), true);
    let call = life.starts.last().cloned().expect("it is started");
    let (key, token) = (call.key, call.token);
    let answer = match orders {
        Orders::OnTheWay => None,
        Orders::Unanswered => Some(StartAnswer::NoAnswer),
        Orders::Refused => Some(carry_out(target, life.now, &call)),
    };
    if let Some(answer) = answer {
        let event = AgentEvent::StartAnswered { key, token, answer };
        life.handle(target, event, false);
        life.pass(target, 10, false);
        life.handle(target, start_of_service(1), false);
    }
    (life.now, life.starts)
}

// Guards against a start of the agent's former life that is carried out after the present one has reported
// its run as over: the time of day, which the tokens are derived from, stepped back, and the present life's
// token is no higher than one that the former life used and the target has not seen yet.
#[test]
fn test_handle_start_of_the_former_life_is_kept_out_by_any_token() {
    let around = [-10_000, 0, 10_000]
        .iter()
        .flat_map(|c| (-60..=60).map(move |o| c + o));
    let between = (-20_000..=20_000).step_by(173);
    let offsets: Vec<i64> = around.chain(between).collect();
    let mut carried_out = Vec::new();
    for orders in [Orders::OnTheWay, Orders::Unanswered, Orders::Refused] {
        let mut reported = 0;
        for offset in &offsets {
            let capacity = info("target", false).capacity;
            let mut target = RunTarget::new("target", capacity, 1.0);
            let (ended_at, starts) = former_life(&mut target, orders);
            let claims: Vec<RunKey> = starts.iter().map(|call| call.key).collect();
            let token = FORMER.saturating_add_signed(*offset);
            let mut life = Life::begin(&mut target, ended_at + ms(1), token, &claims);
            life.pass(&mut target, 150, true);
            for call in starts.iter().filter(|call| life.over.contains(&call.key)) {
                reported += 1;
                let answer = carry_out(&mut target, life.now, call);
                if matches!(answer, StartAnswer::Started { .. }) {
                    carried_out.push((orders, *offset, call.token, call.key));
                }
            }
        }
        assert!(reported >= offsets.len(), "{orders:?}: {reported} reported");
    }
    assert!(carried_out.is_empty(), "{carried_out:?}");
}

// Guards against an agent that starts nothing for good: its time of day is before the epoch, so that its
// first token is the lowest.
#[test]
fn test_handle_agent_with_the_lowest_tokens_starts_runs() {
    for token in [0, 1, 16, 17, 18] {
        let capacity = info("target", false).capacity;
        let mut target = RunTarget::new("target", capacity, 1.0);
        let mut life = Life::begin(&mut target, ms(10), token, &[]);
        life.pass(&mut target, 10, true);
        life.handle(&mut target, start_of_service(0), true);
        assert_eq!(life.starts.len(), 1, "{token}");
    }
}
