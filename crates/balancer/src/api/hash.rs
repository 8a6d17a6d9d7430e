//! Hashes that are the same at every gateway and in every build.

/// Initial value of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A hash of endpoint names and request keys that is the same at every gateway and in every build (64-bit FNV-1a, then [`mix`]).
pub fn stable_hash(text: &str) -> u64 {
    let folded =
        text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(folded)
}

/// Mixes the bits of a number, so that similar numbers get unrelated hashes (the finalizer of MurmurHash3).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
