//! Encoding of segments on disk: compressed, behind a digest that detects damage.

use crate::encoding;
use crate::version::digest;
use serde::{Deserialize, Serialize};

/// Maximum length of a segment after decompression, in bytes. A longer one was not written by this program.
const MAX_SEGMENT_BYTES: usize = encoding::MAX_ENCODED_BYTES;
/// Length of the digest in front of the compressed bytes.
const DIGEST_BYTES: usize = 8;
/// Length of the decompressed length in front of the compressed block, as `lz4_flex` writes it.
const LENGTH_BYTES: usize = 4;

/// Encodes and compresses a value and puts the digest in front.
pub(super) fn compress<T: Serialize>(value: &T) -> Vec<u8> {
    let compressed = lz4_flex::compress_prepend_size(&postcard::to_allocvec(value).unwrap_or_default());
    [&digest(&compressed).to_le_bytes()[..], &compressed].concat()
}

/// Reverses [`compress`]; `None` if the bytes are not as they were written.
pub(super) fn decompress<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (stored_digest, compressed) = bytes.split_at_checked(DIGEST_BYTES)?;
    if stored_digest != digest(compressed).to_le_bytes() {
        return None;
    }
    let length = u32::from_le_bytes(compressed.get(..LENGTH_BYTES)?.try_into().ok()?);
    if length as usize > MAX_SEGMENT_BYTES {
        return None;
    }
    let decompressed = lz4_flex::decompress_size_prepended(compressed).ok()?;
    encoding::decode(&decompressed).ok()
}

#[cfg(test)]
mod tests;
