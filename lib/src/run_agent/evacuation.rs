//! Evacuations: the agent is the last guard, for it knows its own data hall.

use std::sync::Arc;

use super::RunAgentCore;
use crate::evacuations::{EvacuatedHalls, Offered};
use crate::events::EventCode;
use crate::ids::Now;
use crate::run_event::AgentAction;

impl RunAgentCore {
    /// Whether the target may get no new work, for its hall is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.options.hall)
    }

    pub(super) fn offer_evacuations(&mut self, state: &Arc<EvacuatedHalls>, from: &str) {
        if self.evacuations.offer(state) != Offered::Changed {
            return;
        }
        let (halls, place) = (state.names(), state.place);
        let is_own = self.is_evacuated();
        self.log(
            EventCode::EvacuationsChanged,
            format!("halls=[{halls}] own={is_own} place={place} from={from}"),
        );
    }

    /// When the store is to be asked. Without any entry there is no work to be refused.
    pub(super) fn ask_evacuations_at(&self) -> Option<Now> {
        if self.entries.is_empty() {
            return None;
        }
        self.evacuation_watch.ask_at()
    }

    pub(super) fn ask_evacuations(&mut self) {
        if !self.entries.is_empty() && self.evacuation_watch.take_due(self.now) {
            self.evacuations_asked = Some(self.now);
            self.out.push(AgentAction::AskEvacuations);
        }
    }

    pub(super) fn evacuations_answered(&mut self, answer: Option<Arc<EvacuatedHalls>>) {
        let asked_at = self.evacuations_asked.take();
        let (Some(state), Some(asked_at)) = (answer, asked_at) else {
            return;
        };
        self.evacuation_watch.known(asked_at);
        self.offer_evacuations(&state, "store");
    }
}
