//! Encodes a batch's payload for the links from entries to agents, compressed if that makes it
//! smaller.
//!
//! A payload is compressed once per batch and sent to every target that runs some of its tasks.

use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use snafu::{ResultExt as _, Snafu};
use zstd::bulk::{Compressor, Decompressor};

/// Minimum size in bytes of a payload that is compressed. For a shorter one the order around it
/// outweighs the saving.
const MIN_COMPRESSED_LEN: usize = 200;
/// Maximum ratio of compressed size to text size at which the compressed payload is sent.
const MAX_COMPRESSION_RATIO: f64 = 0.9;
/// Compression level of zstd: the fastest of the regular levels.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum size of a decompressed text in bytes, well above the limit for callers.
const MAX_TEXT_LEN: usize = 1 << 20;

/// A payload on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The text as the caller sent it.
    #[serde(rename = "t")]
    Text(Arc<str>),
    /// The text compressed with zstd.
    #[serde(rename = "z")]
    Packed(Arc<ByteBuf>),
}

/// Why a compressed payload could not be decoded.
#[derive(Debug, Snafu)]
pub enum PayloadError {
    /// The bytes are not a valid compressed payload, or their text is too large.
    #[snafu(display("cannot decompress payload: {source}"))]
    Malformed {
        /// Error of the compression library.
        source: io::Error,
    },
    /// The decompressed bytes are not valid UTF-8.
    #[snafu(display("decompressed payload is not valid UTF-8: {source}"))]
    NotUtf8 {
        /// The decoding error.
        source: std::string::FromUtf8Error,
    },
}

impl Payload {
    /// Size on a link, in bytes.
    pub fn len(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Packed(bytes) => bytes.len(),
        }
    }

    /// Whether the payload is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        Self::Text(text.into())
    }
}

/// Compresses payloads and reuses the library's buffers between them.
pub struct PayloadPacker {
    /// `None` if the library could not be initialized; payloads are then sent as text.
    compressor: Option<Compressor<'static>>,
}

impl Default for PayloadPacker {
    fn default() -> Self {
        let compressor = Compressor::new(COMPRESSION_LEVEL).ok();
        Self { compressor }
    }
}

impl PayloadPacker {
    /// Encodes a payload for sending.
    pub fn pack(&mut self, text: &Arc<str>) -> Payload {
        let packed = self.compress(text);
        packed.map_or_else(|| Payload::Text(text.clone()), Payload::Packed)
    }

    fn compress(&mut self, text: &str) -> Option<Arc<ByteBuf>> {
        if text.len() < MIN_COMPRESSED_LEN {
            return None;
        }
        let packed = self.compressor.as_mut()?.compress(text.as_bytes()).ok()?;
        let is_small_enough = packed.len() as f64 <= text.len() as f64 * MAX_COMPRESSION_RATIO;
        is_small_enough.then(|| Arc::new(ByteBuf::from(packed)))
    }
}

/// Decodes payloads and reuses the library's buffers between them.
#[derive(Default)]
pub struct PayloadUnpacker {
    decompressor: Option<Decompressor<'static>>,
}

impl PayloadUnpacker {
    /// Decodes the text of a payload.
    pub fn unpack(&mut self, payload: &Payload) -> Result<Arc<str>, PayloadError> {
        let bytes = match payload {
            Payload::Text(text) => return Ok(text.clone()),
            Payload::Packed(bytes) => bytes,
        };
        let decompressor = match &mut self.decompressor {
            Some(decompressor) => decompressor,
            None => self
                .decompressor
                .insert(Decompressor::new().context(MalformedSnafu)?),
        };
        let text = decompressor.decompress(bytes, MAX_TEXT_LEN);
        let text = String::from_utf8(text.context(MalformedSnafu)?).context(NotUtf8Snafu)?;
        Ok(text.into())
    }
}
