//! The reports of a process fleet's targets, and what another writer sends beside them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use platform::client::PlatformClient;
use platform::stand_in_format;

use crate::foreign_writer::strange_report;
use crate::platform_stand_ins::TargetStandIn;

/// How often each target reports to its agent.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// How long a report may go unanswered.
const REPORT_LIMIT: Duration = Duration::from_millis(200);

/// Counts reports that can't be read and were acknowledged all the same.
pub type Misheard = Rc<Cell<u64>>;

async fn post(client: &PlatformClient, path: &str, body: Vec<u8>) -> Option<u16> {
    let request = client.request(Method::POST, path);
    let request = request.content_type("application/json");
    let answer = PlatformClient::call(request, body, REPORT_LIMIT).await;
    // An agent that is down is told again.
    answer.ok().map(|a| a.status.as_u16())
}

fn is_acknowledged(status: Option<u16>) -> bool {
    status.is_some_and(|s| (200..300).contains(&s))
}

async fn report_once(
    client: Rc<PlatformClient>,
    target: TargetStandIn,
    turn: u64,
    misheard: Misheard,
) {
    let (info, sequence) = target.target().report();
    let path = stand_in_format::report_path(&info.life.name);
    let body = stand_in_format::encode_report(&info, sequence).into_bytes();
    let status = post(&client, &path, body).await;
    if is_acknowledged(status) {
        let now = target.now();
        target.target().note_report_heard(now, &info, sequence);
    }
    if info.leaving && is_acknowledged(status) {
        target.target().note_leave_heard(target.now(), &info.life);
    }
    let strange = strange_report(turn, &info, sequence);
    let status = post(&client, &strange.path, strange.body).await;
    if !strange.is_readable && is_acknowledged(status) {
        misheard.set(misheard.get() + 1);
    }
}

/// Has targets report to their agents for ever, from the thread that calls it.
pub async fn report_forever(
    targets: Vec<TargetStandIn>,
    agents: Vec<SocketAddr>,
    misheard: Misheard,
) {
    let mut clients = Vec::new();
    for agent in &agents {
        clients.push(Rc::new(PlatformClient::new(&agent.to_string()).await));
    }
    for turn in 0.. {
        for (target, client) in targets.iter().zip(&clients) {
            let report = report_once(client.clone(), target.clone(), turn, misheard.clone());
            ntex::rt::spawn(report);
        }
        ntex::time::sleep(REPORT_EVERY).await;
    }
}
