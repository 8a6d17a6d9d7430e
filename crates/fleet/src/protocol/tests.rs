use super::*;
use proptest::prelude::*;

fn encoded_hello(fleet: &str, name: &str, agreement_digest: u64, addressee: &str) -> Vec<u8> {
    let caller = Caller::Gateway {
        name: name.to_owned(),
        process: Incarnation(1),
        voter: Incarnation(1),
        agreement_digest,
    };
    encode_frame(&Hello::new(fleet, caller, addressee)).expect("frame exceeds the maximum length")
}

fn accept(bytes: &[u8]) -> Result<Caller, ProtocolError> {
    accept_hello(bytes, "f", "a", 7, &|name| name == "a" || name == "b")
}

#[test]
fn callers_outside_the_fleet_are_rejected_with_the_reason() {
    assert!(matches!(accept(&encoded_hello("f", "b", 7, "a")), Ok(Caller::Gateway { .. })));
    assert_eq!(accept(&encoded_hello("g", "b", 7, "a")), Err(ProtocolError::OtherFleet("g".into())));
    assert_eq!(accept(&encoded_hello("f", "c", 7, "a")), Err(ProtocolError::UnknownPeer("c".into())));
    assert_eq!(
        accept(&encoded_hello("f", "a", 7, "a")),
        Err(ProtocolError::UnknownPeer("a".into())),
        "a gateway rejects a caller with its own name"
    );
    assert_eq!(accept(&encoded_hello("f", "b", 8, "a")), Err(ProtocolError::SettingsMismatch("b".into())));
    assert_eq!(accept(&encoded_hello("f", "b", 7, "b")), Err(ProtocolError::WrongAddressee("b".into())));
    let mut newer = encoded_hello("f", "b", 7, "a");
    newer[4] = 9;
    assert_eq!(accept(&newer), Err(ProtocolError::VersionMismatch(9)));
    assert!(matches!(accept(b"GET / HTTP/1.1\r\n\r\n"), Err(ProtocolError::NotAFrame(_))));
    assert!(matches!(accept(&encoded_hello("f", "b", 7, "a")[..9]), Err(ProtocolError::NotAFrame(_))));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = accept(&bytes);
        let _ = decode_frame::<Frame>(&bytes);
    }

    /// A frame that was truncated, or is followed by further bytes, does not decode.
    #[test]
    fn truncated_and_prolonged_frames_are_rejected(request in any::<u64>(), index in any::<u64>(), removed_bytes in 1usize..12) {
        let mut version = Version::default();
        version.list.index = index;
        let bytes = encode_frame(&Frame::RenewSession { session: 3, request, version }).expect("frame exceeds the maximum length");
        prop_assert!(decode_frame::<Frame>(&bytes).is_ok());
        prop_assert!(decode_frame::<Frame>(&bytes[..bytes.len() - removed_bytes.min(bytes.len())]).is_err());
        let longer = [&bytes[..], &[0]].concat();
        prop_assert!(decode_frame::<Frame>(&longer).is_err());
    }
}
