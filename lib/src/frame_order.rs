//! Numbers the frames of a session, so that copies are dropped and a loss is seen.

use crate::message::Frame;

/// The sending side of a session.
#[derive(Debug, Default)]
pub struct FrameSender {
    sent: u64,
}

impl FrameSender {
    /// A session on which `sent` frames have been sent.
    pub fn after(sent: u64) -> Self {
        Self { sent }
    }

    /// Numbers the next frame.
    pub fn frame<M>(&mut self, messages: Vec<M>) -> Frame<M> {
        self.sent += 1;
        Frame {
            n: self.sent,
            messages,
        }
    }
}

/// Where a frame stands in its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOrder {
    /// The next one.
    Next,
    /// A copy of one that was taken in.
    Copy,
    /// One before it is missing: the session has to be closed.
    Gap,
}

/// The receiving side of a session.
#[derive(Debug, Default)]
pub struct FrameReceiver {
    received: u64,
}

impl FrameReceiver {
    /// A session on which `received` frames have been received.
    pub fn after(received: u64) -> Self {
        Self { received }
    }

    /// Judges a frame by its number.
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
