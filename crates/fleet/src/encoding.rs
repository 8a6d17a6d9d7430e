//! Binary encoding of frames and stored records: `postcard`, with a limit on the length.
//!
//! `postcard` writes the variants of an enum by their position and the fields of a struct in their order. Reordering variants or fields
//! changes the format of the link and of the stored files. This applies to every type of this crate that derives `Serialize` and is part
//! of a frame, a hello or a stored record, including types whose own documentation does not repeat it.

use serde::{Deserialize, Serialize};

/// Maximum length of an encoded value, in bytes: well above the length of a state machine with the maximum number of sessions.
pub const MAX_ENCODED_BYTES: usize = 8 << 20;

/// Why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Bytes follow the end of the encoded value.
    #[error("{0} bytes after the end of the value")]
    TrailingBytes(usize),
    /// The bytes are not an encoding of a value of the expected type.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// Encodes a value; `None` if the encoding would be longer than [`MAX_ENCODED_BYTES`].
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(value).ok().filter(|bytes| bytes.len() <= MAX_ENCODED_BYTES)
}

/// Decodes a value whose encoding takes up all of the bytes.
///
/// # Errors
/// [`DecodeError`] if the bytes are malformed or continue after the value.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, trailing) => Err(DecodeError::TrailingBytes(trailing.len())),
    }
}

/// Decodes a value from the beginning of the bytes and ignores the rest.
///
/// # Errors
/// [`DecodeError::Malformed`] if the bytes do not begin with a value of the expected type.
pub fn decode_prefix<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, _) = postcard::take_from_bytes(bytes)?;
    Ok(value)
}
