//! CBOR encoding of frames.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

use crate::message::Frame;

/// Largest frame that a session sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why bytes could not be decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The bytes are not valid CBOR of the expected type.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a frame.
pub fn encode<M: Serialize>(frame: &Frame<M>) -> Vec<u8> {
    encode_value(frame)
}

/// Encodes any serializable value.
pub fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Decodes a frame.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<M>, CodecError> {
    decode_value(bytes)
}

/// Decodes any deserializable value.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).context(MalformedSnafu)
}
