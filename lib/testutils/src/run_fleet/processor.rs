//! Models the processor of entries: events wait while it is busy.
//!
//! Like the event loop of an entry, it takes all waiting events in turns. The end of a caller's
//! connection takes a few steps to reach the core, so it comes after the packets of its turn; new
//! batches come last. Samples of its load are passed to the entry's core.

use std::collections::VecDeque;
use std::time::Duration;

use trestleknot_lib::batch_event::EntryEvent;
use trestleknot_lib::ids::Now;
use trestleknot_lib::loop_sampler::LoopSampler;

use super::{Event, RunFleet};

/// Shortest time between two marks of the input that an entry has read.
const INPUT_MARK_PAUSE: Duration = Duration::from_millis(30);

/// Processors of the entries.
#[derive(Debug, Clone, Copy)]
pub struct ProcessorModel {
    /// Time that an event takes on a whole core.
    pub event_cost: Duration,
    /// Share of a core that an entry has.
    pub share: f64,
    /// Number of entries, from the first, that have a smaller share.
    pub narrow_entries: usize,
    /// Their share.
    pub narrow_share: f64,
    /// Time for which the system withholds the processor of these entries, as it does from a
    /// process that has used up its share.
    pub narrow_pause: Duration,
    /// Interval between the beginnings of such pauses.
    pub pause_interval: Duration,
}

impl ProcessorModel {
    /// Share of a core of one entry.
    pub(super) fn share_of(&self, entry: usize) -> f64 {
        if entry < self.narrow_entries {
            self.narrow_share
        } else {
            self.share
        }
    }

    /// Time until an entry's processor is available.
    fn pause_left(&self, entry: usize, now: Now) -> Duration {
        if entry >= self.narrow_entries || self.narrow_pause.is_zero() {
            return Duration::ZERO;
        }
        let into = now.as_nanos() % self.pause_interval.as_nanos();
        let left = self.narrow_pause.as_nanos().saturating_sub(into);
        Duration::from_nanos(left as u64)
    }
}

/// The processor of one entry.
#[derive(Default)]
pub(super) struct Processor {
    /// Number of the event in progress; stale completions have another one.
    number: u64,
    /// The event in progress.
    current: Option<Event>,
    /// Events of this turn, in order.
    turn: VecDeque<Event>,
    /// Events that arrived since the turn began.
    waiting: VecDeque<Event>,
    total_busy: Duration,
    sampler: LoopSampler,
}

impl Processor {
    /// Removes all events, as the end of the process does.
    pub(super) fn reset(&mut self) {
        let number = self.number + 1;
        *self = Self {
            number,
            ..Self::default()
        };
    }

    fn next(&mut self) -> Option<Event> {
        if self.turn.is_empty() {
            self.turn.extend(self.waiting.drain(..));
            self.turn.make_contiguous().sort_by_key(place_in_turn);
        }
        self.turn.pop_front()
    }
}

/// Events of a turn are handled in this order, and in the order of their arrival.
fn place_in_turn(event: &Event) -> u8 {
    match event {
        Event::CallerGone(..) => 1,
        Event::RequestArrived(..) => 2,
        Event::InputRead(..) => 3,
        _ => 0,
    }
}

impl RunFleet {
    /// Queues an event at an entry's processor. Returns it if processors are not modelled.
    pub(super) fn queue_at_processor(&mut self, entry: usize, event: Event) -> Option<Event> {
        if self.fleet_config.processor.is_none() {
            return Some(event);
        }
        let processor = &mut self.processors[entry];
        processor.waiting.push_back(event);
        if processor.current.is_none() {
            self.start_next_event(entry);
        }
        None
    }

    fn start_next_event(&mut self, entry: usize) {
        let Some(model) = self.fleet_config.processor else {
            return;
        };
        let processor = &mut self.processors[entry];
        processor.current = processor.next();
        if processor.current.is_none() {
            return;
        }
        processor.number += 1;
        let number = processor.number;
        let pause = model.pause_left(entry, self.now);
        let cost = match processor.current {
            Some(Event::InputRead(..)) => Duration::ZERO,
            _ => model.event_cost.div_f64(model.share_of(entry)),
        };
        let time = pause + cost;
        processor.total_busy += time;
        self.schedule_after(time, Event::Processed(entry, number));
    }

    /// Queues a mark behind the events that have arrived at an entry.
    pub(super) fn mark_input(&mut self, entry: usize, incarnation: u64) {
        let process = &self.entries[entry];
        if process.incarnation == incarnation {
            let until = process.clock(self.now);
            let mark = Event::InputRead(entry, incarnation, until);
            self.schedule_after(Duration::ZERO, mark);
        }
    }

    /// Tells an entry how far it has read its input, and plans the next mark.
    pub(super) fn input_read(&mut self, entry: usize, incarnation: u64, until: Now) {
        if self.entries[entry].incarnation == incarnation {
            self.tell_entry(entry, EntryEvent::InputRead(until));
            let took = self.entries[entry].clock(self.now).saturating_sub(until);
            let pause = INPUT_MARK_PAUSE.saturating_sub(took);
            self.schedule_after(pause, Event::MarkInput(entry, incarnation));
        }
    }

    /// Handles the event whose processing has ended, and starts the next one.
    pub(super) fn processed(&mut self, entry: usize, number: u64) {
        let processor = &mut self.processors[entry];
        if processor.number != number {
            return;
        }
        let Some(event) = processor.current.take() else {
            return;
        };
        if !matches!(event, Event::InputRead(..)) {
            self.note_load(entry);
        }
        self.handle_event(event);
        self.start_next_event(entry);
    }

    fn note_load(&mut self, entry: usize) {
        let overdue = self.entries[entry]
            .wake
            .map(|at| self.now.saturating_sub(at));
        self.processors[entry]
            .sampler
            .note_lag(overdue.unwrap_or_default());
        self.sample_processor(entry);
    }

    fn sample_processor(&mut self, entry: usize) {
        let processor = &mut self.processors[entry];
        if !processor.sampler.is_due(self.now) {
            return;
        }
        if let Some(load) = processor.sampler.sample(self.now, processor.total_busy) {
            self.tell_entry(entry, EntryEvent::LoopLoad(load));
        }
    }
}
