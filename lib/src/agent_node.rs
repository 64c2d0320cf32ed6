//! An agent on the platform: runs the agent's core with its links, timer and target on one thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use tokio::sync::Notify;

use crate::clock::{BootInstant, SuspensionWatch};
use crate::core_timer::CoreTimer;
use crate::evacuations::EvacuationReader;
use crate::events::{EventCode, LogEvent};
use crate::ids::SessionId;
use crate::node_links::{LinkSink, NodeLinks};
use crate::node_metrics::NodeMetrics;
use crate::platform_ports::{EntryRegistry, OperatorFeed, PortError, TargetPort};
use crate::run_agent::RunAgentCore;
use crate::run_event::{AgentAction, AgentEvent, AgentOptions, StartCall};
use crate::run_message::Packet;
use crate::skipped_input::SkippedInput;
use crate::target_incarnation::TargetName;
use crate::target_lease::Renewal;

/// Drives an agent's core: delivers events to it and executes its actions.
pub struct AgentNode {
    me: Weak<AgentNode>,
    core: RefCell<RunAgentCore>,
    timer: Rc<CoreTimer>,
    links: Rc<NodeLinks>,
    target: Rc<dyn TargetPort>,
    operators: Rc<dyn OperatorFeed>,
    registry: Rc<dyn EntryRegistry>,
    figures: NodeMetrics,
    suspensions: SuspensionWatch,
    skipped_records: RefCell<SkippedInput>,
    skipped_reports: RefCell<SkippedInput>,
    ended: Notify,
}

impl AgentNode {
    /// Starts an agent beside a target. Must be called on the thread that runs it.
    pub fn start(
        options: AgentOptions,
        target: Rc<dyn TargetPort>,
        operators: Rc<dyn OperatorFeed>,
        registry: Rc<dyn EntryRegistry>,
    ) -> Rc<Self> {
        let timer = CoreTimer::new(BootInstant::now());
        let core = RunAgentCore::new(timer.now(), options);
        let node = Rc::new_cyclic(|me: &Weak<Self>| Self {
            me: me.clone(),
            core: RefCell::new(core),
            timer: timer.clone(),
            links: NodeLinks::new(),
            target,
            operators,
            registry,
            figures: NodeMetrics::new(),
            suspensions: SuspensionWatch::start(),
            skipped_records: RefCell::default(),
            skipped_reports: RefCell::default(),
            ended: Notify::new(),
        });
        let node_to_wake = node.clone();
        ntex::rt::spawn(timer.run(move || node_to_wake.deliver(AgentEvent::Wake)));
        node.deliver(AgentEvent::Wake);
        node
    }

    /// Passes an event to the core and executes the resulting actions. A suspension of the VM is
    /// passed first, because it changes when the target's lease lapses.
    pub fn deliver(&self, event: AgentEvent) {
        let suspended = self.suspensions.take();
        if !suspended.is_zero() {
            self.handle_event(AgentEvent::Resumed(suspended));
        }
        self.handle_event(event);
    }

    fn handle_event(&self, event: AgentEvent) {
        let actions = {
            let mut core = self.core.borrow_mut();
            let actions = core.handle(self.timer.now(), event);
            self.timer.set(core.next_wake());
            actions
        };
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&self, action: AgentAction) {
        match action {
            AgentAction::Send(link, packet) => self.links.send(link, &Packet::FromAgent(packet)),
            AgentAction::Close(link) => self.links.close(link),
            AgentAction::Dial(address) => self.dial(address),
            AgentAction::Disconnect(address) => self.links.disconnect(address),
            AgentAction::Start(call) => self.start_run(call),
            AgentAction::Stop {
                key,
                token,
                target_name,
            } => {
                ntex::rt::spawn(self.target.stop(key, token, target_name));
            }
            AgentAction::Renew {
                renewal,
                target_name,
            } => self.renew(renewal, target_name),
            AgentAction::CheckIncarnation { query, target_name } => {
                self.check_incarnation(query, target_name)
            }
            AgentAction::AskEvacuations => self.read_evacuations(),
            AgentAction::AskEntries => self.list_entries(),
            AgentAction::Log(event) => self.log(event),
            AgentAction::Exit => self.ended.notify_one(),
        }
    }

    /// Writes a line to the log and counts it in the metrics.
    pub fn log(&self, event: LogEvent) {
        self.figures.event(event.code);
        event.emit();
    }

    fn dial(&self, address: SocketAddr) {
        if let Some(me) = self.me.upgrade() {
            self.links.dial(address, me);
        }
    }

    fn start_run(&self, call: StartCall) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        let (key, token) = (call.key, call.token);
        let answer = self.target.start(call);
        let sent = BootInstant::now();
        ntex::rt::spawn(async move {
            let answer = answer.await;
            me.figures.record_call(sent.elapsed());
            me.deliver(AgentEvent::StartAnswered { key, token, answer });
        });
    }

    fn renew(&self, renewal: Renewal, target_name: Option<TargetName>) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        let number = renewal.number;
        let answer = self.target.renew(renewal, target_name);
        ntex::rt::spawn(async move {
            let answer = answer.await;
            me.deliver(AgentEvent::RenewalAnswered { number, answer });
        });
    }

    fn check_incarnation(&self, query: Renewal, target_name: TargetName) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        let number = query.number;
        let answer = self.target.renew(query, Some(target_name));
        ntex::rt::spawn(async move {
            let answer = answer.await.into();
            me.deliver(AgentEvent::IncarnationChecked { number, answer });
        });
    }

    fn list_entries(&self) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        ntex::rt::spawn(async move {
            match me.registry.list().await {
                Ok(addresses) => me.deliver(AgentEvent::Entries(addresses)),
                Err(e) => log_store_failure(&e),
            }
        });
    }

    fn read_evacuations(&self) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        ntex::rt::spawn(async move {
            let answer = me.operators.newest().await;
            let state = match answer {
                Ok(news) => {
                    me.log_skipped_records(&news.unreadable);
                    // An incomplete read may lack a hall that is evacuated.
                    let is_complete = news.evacuations.is_complete;
                    let state = EvacuationReader::default().read(news.evacuations);
                    is_complete.then(|| Arc::new(state))
                }
                Err(e) => {
                    log_store_failure(&e);
                    None
                }
            };
            me.deliver(AgentEvent::Evacuations(state));
        });
    }

    fn log_skipped_records(&self, unreadable: &[PortError]) {
        let mut skipped = self.skipped_records.borrow_mut();
        for e in unreadable {
            skipped.note_new(&e.to_string());
        }
        if let Some(detail) = skipped.take_line(self.timer.now()) {
            self.log(LogEvent::new(EventCode::RecordUnreadable, detail));
        }
    }

    /// Logs that a report or goodbye was rejected as unreadable.
    pub fn log_skipped_report(&self, cause: &str) {
        let mut skipped = self.skipped_reports.borrow_mut();
        skipped.note(cause);
        if let Some(detail) = skipped.take_line(self.timer.now()) {
            self.log(LogEvent::new(EventCode::ReportUnreadable, detail));
        }
    }

    /// Renders the metrics page.
    pub fn metrics(&self) -> String {
        let gauges = self.core.borrow().gauges();
        self.figures.set_gauge("runs", gauges.runs);
        self.figures.set_gauge("entries", gauges.entries);
        let received = self.links.bytes_received();
        self.figures.set_gauge("link_bytes_received", received);
        self.figures.link_bytes(&self.links.bytes_sent());
        self.figures.render()
    }

    /// Waits until the core requests the exit of the process.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

fn log_store_failure(cause: &PortError) {
    LogEvent::new(EventCode::StoreDown, format!("cause=\"{cause}\"")).emit();
}

impl LinkSink for AgentNode {
    fn link_up(&self, link: SessionId, dialled: Option<SocketAddr>) {
        match dialled {
            Some(address) => self.deliver(AgentEvent::LinkUp(link, address)),
            // An agent accepts no links.
            None => self.links.close(link),
        }
    }

    fn packet(&self, link: SessionId, packet: Packet) {
        match packet {
            Packet::FromEntry(packet) => self.deliver(AgentEvent::Packet(link, packet)),
            // Agents dial only entries, which send only this kind of packet to an agent.
            Packet::FromAgent(_) | Packet::BetweenEntries(_) => self.links.close(link),
        }
    }

    fn link_down(&self, link: SessionId) {
        self.deliver(AgentEvent::LinkDown(link));
    }
}
