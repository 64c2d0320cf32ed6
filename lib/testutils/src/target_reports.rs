//! Sends the reports of a process fleet's targets, along with those of a foreign writer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use platform::client::PlatformClient;
use platform::stand_in_format;

use crate::foreign_writer::foreign_report;
use crate::platform_stand_ins::TargetStandIn;

/// Interval between a target's reports to its agent.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// Time after which a report fails.
const REPORT_LIMIT: Duration = Duration::from_millis(200);

/// Number of unreadable reports that were acknowledged.
pub type Misheard = Rc<Cell<u64>>;

async fn post(client: &PlatformClient, path: &str, body: Vec<u8>) -> Option<u16> {
    let request = client.request(Method::POST, path);
    let request = request.content_type("application/json");
    let answer = PlatformClient::call(request, body, REPORT_LIMIT).await;
    // Errors are ignored: the next report follows soon.
    answer.ok().map(|a| a.status.as_u16())
}

fn is_acknowledged(status: Option<u16>) -> bool {
    status.is_some_and(|s| (200..300).contains(&s))
}

async fn report_once(
    client: Rc<PlatformClient>,
    target: TargetStandIn,
    turn: u64,
    unreadable_acknowledged: Misheard,
) {
    let (info, sequence) = target.target().report();
    let path = stand_in_format::report_path(&info.life.name);
    let body = stand_in_format::encode_report(&info, sequence).into_bytes();
    let sent = target.now();
    target.target().record_report_sent(sent, &info);
    let status = post(&client, &path, body).await;
    if is_acknowledged(status) {
        let now = target.now();
        target.target().record_report(now, &info, sequence);
    }
    if info.leaving && is_acknowledged(status) {
        target
            .target()
            .record_leave_acknowledged(target.now(), &info.life);
    }
    let foreign = foreign_report(turn, &info, sequence);
    let status = post(&client, &foreign.path, foreign.body).await;
    if !foreign.is_readable && is_acknowledged(status) {
        unreadable_acknowledged.set(unreadable_acknowledged.get() + 1);
    }
}

/// Reports from targets to their agents until the future is dropped.
pub async fn report_forever(
    targets: Vec<TargetStandIn>,
    agents: Vec<SocketAddr>,
    unreadable_acknowledged: Misheard,
) {
    let mut clients = Vec::new();
    for agent in &agents {
        clients.push(Rc::new(PlatformClient::new(&agent.to_string()).await));
    }
    for turn in 0.. {
        let reporting = targets.iter().zip(&clients);
        for (target, client) in reporting.filter(|(target, _)| target.reports()) {
            let report = report_once(
                client.clone(),
                target.clone(),
                turn,
                unreadable_acknowledged.clone(),
            );
            ntex::rt::spawn(report);
        }
        ntex::time::sleep(REPORT_EVERY).await;
    }
}
