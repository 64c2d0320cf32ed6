//! When an entry may tell its core that it has handled the input that has arrived.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ntex::web::types::State;
use ntex::web::{self, App, HttpServer};
use trestleknot_lib::entry_node::handle_arrived_input;
use trestleknot_lib::worker_threads::run_system;

/// Callers whose connections break at once; more than the event loop handles in one turn.
const CALLERS: usize = 150;
/// How long the event loop stands still.
const STALL: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Counts {
    waiting: AtomicUsize,
    gone: AtomicUsize,
}

/// Counts a caller whose handler is dropped.
struct Caller(Arc<Counts>);

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.gone.fetch_add(1, Ordering::SeqCst);
    }
}

async fn wait(counts: State<Arc<Counts>>) -> String {
    let _caller = Caller(counts.get_ref().clone());
    counts.waiting.fetch_add(1, Ordering::SeqCst);
    std::future::pending().await
}

/// Stands still, handles what arrived meanwhile, and answers how many callers are gone.
async fn stall(counts: State<Arc<Counts>>) -> String {
    std::thread::sleep(STALL);
    handle_arrived_input().await;
    counts.gone.load(Ordering::SeqCst).to_string()
}

fn get(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    let request = format!("GET {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("send");
    stream
}

fn sleep(time: Duration) {
    std::thread::sleep(time);
}

// Guards against words of an entry that stood still and has not read which callers are gone: the core
// would be told that it has.
#[test]
fn test_handle_arrived_input_after_a_stall_covers_all_broken_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let counts = Arc::new(Counts::default());
    let state = counts.clone();
    std::thread::spawn(move || {
        run_system("entry", async move {
            let server = HttpServer::new(async move || {
                App::new()
                    .state(state.clone())
                    .service(web::resource("/wait").to(wait))
                    .service(web::resource("/stall").to(stall))
            });
            let server = server.workers(1).disable_signals().listen(listener);
            let _ = server.expect("listen").run().await;
        });
    });
    let callers: Vec<TcpStream> = (0..CALLERS).map(|_| get(address, "/wait")).collect();
    while counts.waiting.load(Ordering::SeqCst) < CALLERS {
        sleep(Duration::from_millis(5));
    }
    let mut stalling = get(address, "/stall");
    sleep(STALL / 3);
    assert_eq!(counts.gone.load(Ordering::SeqCst), 0);
    drop(callers);
    let mut answer = String::new();
    stalling.read_to_string(&mut answer).expect("an answer");
    let body = answer.rsplit("\r\n\r\n").next();
    assert_eq!(body, Some(CALLERS.to_string().as_str()), "{answer}");
}
