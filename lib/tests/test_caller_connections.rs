//! By when requests of callers were sent at the earliest.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use trestleknot_lib::caller_connections::CallerConnections;
use trestleknot_lib::handshake::handshake_time;
use trestleknot_lib::ids::Now;

const RETENTION: Duration = ms(1_300);

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn caller(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

// Guards against a request that is taken for new although it was held up on a connection that was idle.
#[test]
fn test_max_age_counts_from_the_last_note() {
    let mut connections = CallerConnections::new(RETENTION);
    connections.note(ms(100), caller(1), ms(80));
    assert_eq!(connections.max_age(ms(200), caller(1)), Some(ms(120)));
    connections.note(ms(300), caller(1), ms(300));
    assert_eq!(connections.max_age(ms(310), caller(1)), Some(ms(10)));
    assert_eq!(connections.max_age(ms(1_599), caller(1)), Some(ms(1_299)));
    assert_eq!(connections.max_age(ms(1_600), caller(1)), None);
}

#[test]
fn test_max_age_is_not_known_of_other_or_forgotten_connections() {
    let mut connections = CallerConnections::new(RETENTION);
    connections.note(ms(100), caller(1), ms(100));
    assert_eq!(connections.max_age(ms(100), caller(2)), None);
    connections.forget(caller(1));
    assert_eq!(connections.max_age(ms(100), caller(1)), None);
}

#[test]
fn test_note_keeps_recent_connections_only() {
    let mut connections = CallerConnections::new(RETENTION);
    for port in 1..=20_000 {
        let now = ms(u64::from(port));
        connections.note(now, caller(port), now);
    }
    let last = ms(20_000);
    assert_eq!(connections.max_age(last, caller(18_701)), Some(ms(1_299)));
    assert!(connections.len() < 4_000, "{}", connections.len());
}

#[test]
fn test_handshake_time_of_an_accepted_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let _caller = TcpStream::connect(address).expect("it accepts");
    let (accepted, _) = listener.accept().expect("a connection");
    let time = handshake_time(&accepted).expect("nothing was sent again");
    assert!(time > Duration::ZERO);
}
