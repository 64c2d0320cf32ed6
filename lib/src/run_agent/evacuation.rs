//! Evacuations: the agent starts nothing while its own data hall is evacuated.

use std::sync::Arc;

use super::RunAgentCore;
use crate::evacuations::{EvacuatedHalls, OfferOutcome};
use crate::events::EventCode;
use crate::ids::Now;
use crate::run_event::AgentAction;

impl RunAgentCore {
    /// Whether the target's hall is evacuated. The target may then get no new work.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.options.hall)
    }

    pub(super) fn offer_evacuations(&mut self, state: &Arc<EvacuatedHalls>, from: &str) {
        if self.evacuations.offer(state) != OfferOutcome::Changed {
            return;
        }
        let (halls, place) = (state.names(), state.position);
        let is_own = self.is_evacuated();
        self.log(
            EventCode::EvacuationsChanged,
            format!("halls=[{halls}] own={is_own} place={place} from={from}"),
        );
    }

    /// When to read the evacuations from the store; none while no entry is linked, as there are no
    /// orders to refuse.
    pub(super) fn ask_evacuations_at(&self) -> Option<Now> {
        if self.entry_links.is_empty() {
            return None;
        }
        self.evacuation_watch.query_at()
    }

    pub(super) fn ask_evacuations(&mut self) {
        if !self.entry_links.is_empty() && self.evacuation_watch.take_due(self.now) {
            self.evacuations_asked_at = Some(self.now);
            self.actions.push(AgentAction::AskEvacuations);
        }
    }

    pub(super) fn evacuations_answered(&mut self, answer: Option<Arc<EvacuatedHalls>>) {
        let asked_at = self.evacuations_asked_at.take();
        let (Some(state), Some(asked_at)) = (answer, asked_at) else {
            return;
        };
        self.evacuation_watch.confirmed(asked_at);
        self.offer_evacuations(&state, "store");
    }
}
