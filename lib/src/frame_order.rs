//! Numbers the frames of a session to detect duplicates and losses.

use crate::message::Frame;

/// The sending side of a session.
#[derive(Debug, Default)]
pub struct FrameSender {
    sent: u64,
}

impl FrameSender {
    /// Creates the sender of a session on which `sent` frames were sent.
    pub fn after(sent: u64) -> Self {
        Self { sent }
    }

    /// Creates the next frame with its number.
    pub fn frame<M>(&mut self, messages: Vec<M>) -> Frame<M> {
        self.sent += 1;
        Frame {
            n: self.sent,
            messages,
        }
    }
}

/// Position of a received frame relative to the last accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOrder {
    /// The next frame.
    Next,
    /// A duplicate of an accepted frame.
    Copy,
    /// An earlier frame is missing; the session must be closed.
    Gap,
}

/// The receiving side of a session.
#[derive(Debug, Default)]
pub struct FrameReceiver {
    received: u64,
}

impl FrameReceiver {
    /// Creates the receiver of a session on which `received` frames were received.
    pub fn after(received: u64) -> Self {
        Self { received }
    }

    /// Classifies a frame by its number and accepts it if it is the next one.
    pub fn accept(&mut self, n: u64) -> FrameOrder {
        if n <= self.received {
            return FrameOrder::Copy;
        }
        if n > self.received + 1 {
            return FrameOrder::Gap;
        }
        self.received = n;
        FrameOrder::Next
    }
}
