//! Bounded rings between threads, one producer and one consumer each.
//!
//! A full ring is never a silent drop: [`RingTx::push`] gives the item back, and the caller
//! refuses, closes or retries.

use std::sync::Arc;
use std::thread::Thread;

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use tokio::sync::Notify;

/// Wakes a consumer.
pub trait Wake: Send + Sync {
    /// Called after an item was pushed.
    fn wake(&self);
}

/// Wakes a thread that parks.
pub struct ThreadWaker(pub Thread);

impl Wake for ThreadWaker {
    fn wake(&self) {
        self.0.unpark();
    }
}

/// Wakes a task that waits for a notification.
#[derive(Clone, Default)]
pub struct TaskWaker(pub Arc<Notify>);

impl Wake for TaskWaker {
    fn wake(&self) {
        self.0.notify_one();
    }
}

/// The producing end.
pub struct RingTx<T> {
    /// Taken only when this end is dropped.
    producer: Option<Producer<T>>,
    waker: Arc<dyn Wake>,
}

/// The consuming end.
pub struct RingRx<T> {
    consumer: Consumer<T>,
}

/// A ring of `capacity` items whose consumer is woken by `waker`.
pub fn ring<T>(capacity: usize, waker: Arc<dyn Wake>) -> (RingTx<T>, RingRx<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let producer = Some(producer);
    (RingTx { producer, waker }, RingRx { consumer })
}

/// Lets the consumer see that nothing more will come.
impl<T> Drop for RingTx<T> {
    fn drop(&mut self) {
        drop(self.producer.take());
        self.waker.wake();
    }
}

impl<T> RingTx<T> {
    /// Adds an item and wakes the consumer, or gives the item back if there is no room.
    pub fn push(&mut self, item: T) -> Result<(), T> {
        let Some(producer) = &mut self.producer else {
            return Err(item);
        };
        let pushed = producer.push(item);
        self.waker.wake();
        pushed.map_err(|PushError::Full(item)| item)
    }

    /// Whether the consumer is gone.
    pub fn is_abandoned(&self) -> bool {
        self.producer.as_ref().is_none_or(Producer::is_abandoned)
    }
}

impl<T> RingRx<T> {
    /// Takes the oldest item.
    pub fn pop(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Whether nothing more can come.
    pub fn is_finished(&self) -> bool {
        self.consumer.is_abandoned() && self.consumer.is_empty()
    }
}
