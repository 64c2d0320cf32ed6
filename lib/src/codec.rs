//! CBOR encoding of frames.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

use crate::message::Frame;

/// Largest frame in bytes that is sent or accepted.
pub const MOST_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that are no frame.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// They do not parse.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// Cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a frame.
pub fn encode<M: Serialize>(frame: &Frame<M>) -> Vec<u8> {
    encode_value(frame)
}

/// Encodes anything.
pub fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Decodes a frame.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<M>, CodecError> {
    decode_value(bytes)
}

/// Decodes anything.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).context(MalformedSnafu)
}
