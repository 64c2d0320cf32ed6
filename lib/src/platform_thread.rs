//! The thread that calls the platform for an entry's core.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt as _;

use crate::config_chain::LogRecord;
use crate::entry::EntryEvent;
use crate::entry_input::{CoreRequest, EntryInput};
use crate::http_platform::HttpPlatform;
use crate::platform::{LogService, VmListService};
use crate::ring::{RingRx, RingTx, TaskWaker};
use crate::settings::EntrySettings;
use crate::worker_threads::Factory;

/// The platform services used by an entry.
pub struct Platform {
    /// The append-only log.
    pub log: Rc<dyn LogService>,
    /// The VM list.
    pub vms: Rc<dyn VmListService>,
}

/// A request of the core to the platform.
pub(crate) enum PlatformCommand {
    /// Read the log from an offset.
    ReadLog(u64),
    /// Append a record.
    Append(LogRecord),
    /// Read the VM list.
    ReadList,
}

/// Returns a factory for the platform at the addresses in the settings, over HTTP.
pub fn http_platform(settings: &EntrySettings) -> Factory<Platform> {
    let log_url = settings.log_url.clone();
    let list_url = settings.vm_list_url.clone();
    Box::new(move || {
        async move {
            let platform = Rc::new(HttpPlatform::new(&log_url, &list_url).await);
            Platform {
                log: platform.clone(),
                vms: platform,
            }
        }
        .boxed_local()
    })
}

/// Runs the core's platform requests until the core drops its ring. Each request runs as a separate
/// task, so a slow one doesn't delay the others.
pub(crate) async fn serve_platform(
    platform: Platform,
    mut commands: RingRx<PlatformCommand>,
    waker: TaskWaker,
    events: RingTx<EntryInput>,
) {
    let events = Rc::new(RefCell::new(events));
    loop {
        while let Some(command) = commands.pop() {
            let events = events.clone();
            let log = platform.log.clone();
            let vms = platform.vms.clone();
            ntex::rt::spawn(async move {
                if let Some(event) = call_platform(command, &*log, &*vms).await {
                    let input = EntryInput::Ask(CoreRequest { event, reply: None });
                    // A full ring drops the result; the core repeats the request.
                    let _ = events.borrow_mut().push(input);
                }
            });
        }
        if commands.is_finished() {
            return;
        }
        waker.0.notified().await;
    }
}

async fn call_platform(
    command: PlatformCommand,
    log: &dyn LogService,
    vms: &dyn VmListService,
) -> Option<EntryEvent> {
    match command {
        PlatformCommand::ReadLog(from) => Some(EntryEvent::LogRead(log.read(from).await.ok())),
        PlatformCommand::ReadList => Some(EntryEvent::VmList(vms.list().await.ok())),
        PlatformCommand::Append(record) => {
            // The core learns whether the append took effect by reading the log.
            let _ = log.append(record).await;
            None
        }
    }
}
