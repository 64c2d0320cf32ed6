//! Bounded single-producer, single-consumer rings between threads.
//!
//! A full ring doesn't drop items: [`RingTx::push`] returns the item, and the caller decides what
//! to do with it.

use std::sync::Arc;
use std::thread::Thread;

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use tokio::sync::Notify;

/// Wakes a consumer.
pub trait Wake: Send + Sync {
    /// Called after each attempt to push, and when the producer is dropped.
    fn wake(&self);
}

/// Wakes a parked thread.
pub struct ThreadWaker(pub Thread);

impl Wake for ThreadWaker {
    fn wake(&self) {
        self.0.unpark();
    }
}

/// Wakes a task that awaits the notification.
#[derive(Clone, Default)]
pub struct TaskWaker(pub Arc<Notify>);

impl Wake for TaskWaker {
    fn wake(&self) {
        self.0.notify_one();
    }
}

/// The producer of a ring.
pub struct RingTx<T> {
    /// None only during `drop`.
    producer: Option<Producer<T>>,
    waker: Arc<dyn Wake>,
}

/// The consumer of a ring.
pub struct RingRx<T> {
    consumer: Consumer<T>,
}

/// Creates a ring of `capacity` items whose consumer is woken by `waker`.
pub fn ring<T>(capacity: usize, waker: Arc<dyn Wake>) -> (RingTx<T>, RingRx<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let producer = Some(producer);
    (RingTx { producer, waker }, RingRx { consumer })
}

/// Drops the producer before the wake, so the consumer then sees [`RingRx::is_finished`].
impl<T> Drop for RingTx<T> {
    fn drop(&mut self) {
        drop(self.producer.take());
        self.waker.wake();
    }
}

impl<T> RingTx<T> {
    /// Adds an item, or returns it if the ring is full. Wakes the consumer in both cases.
    pub fn push(&mut self, item: T) -> Result<(), T> {
        let Some(producer) = &mut self.producer else {
            return Err(item);
        };
        let pushed = producer.push(item);
        self.waker.wake();
        pushed.map_err(|PushError::Full(item)| item)
    }

    /// Whether the consumer has been dropped.
    pub fn is_abandoned(&self) -> bool {
        self.producer.as_ref().is_none_or(Producer::is_abandoned)
    }
}

impl<T> RingRx<T> {
    /// Removes and returns the oldest item.
    pub fn pop(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Whether the ring is empty and its producer has been dropped.
    pub fn is_finished(&self) -> bool {
        self.consumer.is_abandoned() && self.consumer.is_empty()
    }
}
