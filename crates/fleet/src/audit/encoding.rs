//! Encoding of segments on disk: a digest that detects damage, followed by the compressed segment.

use crate::encoding;
use crate::version::digest;
use serde::{Deserialize, Serialize};

/// Maximum length of a decompressed segment, in bytes. A longer segment was not written by this program and counts as damaged.
const MAX_SEGMENT_BYTES: usize = encoding::MAX_ENCODED_BYTES;
/// Length of the digest in front of the compressed segment, in bytes.
const DIGEST_BYTES: usize = 8;
/// Length of the length field in front of the compressed block, in bytes. `lz4_flex` writes the decompressed length into the field.
const LENGTH_BYTES: usize = 4;

/// Encodes and compresses a value, and puts the digest of the compressed bytes in front.
pub(super) fn compress<T: Serialize>(value: &T) -> Vec<u8> {
    let compressed = lz4_flex::compress_prepend_size(&postcard::to_allocvec(value).unwrap_or_default());
    [&digest(&compressed).to_le_bytes()[..], &compressed].concat()
}

/// Reverses [`compress`]; `None` if the bytes are damaged or do not encode a value of the expected type.
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
