//! Compression of payloads that are sent to agents.

use std::sync::Arc;

use proptest::prelude::*;
use serde_bytes::ByteBuf;
use trestleknot_lib::codec;
use trestleknot_lib::payload::{Payload, PayloadPacker, PayloadUnpacker};

fn packed(text: &str) -> Payload {
    PayloadPacker::default().pack(&Arc::from(text))
}

#[test]
fn test_pack_by_case() {
    let repeated = "{\"scooter\":17,\"rider\":4}".repeat(40);
    let letters: String = (0..1_200u32)
        .map(|i| char::from(b'a' + (i.wrapping_mul(2_654_435_761) >> 28) as u8))
        .collect();
    let cases = [
        ("empty", "", false),
        ("too short to gain", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa", false),
        ("fields that repeat", &repeated, true),
        ("letters of four bits", &letters, true),
    ];
    for (case, text, is_packed) in cases {
        let payload = packed(text);
        assert_eq!(matches!(payload, Payload::Packed(_)), is_packed, "{case}");
        let unpacked = PayloadUnpacker::default().unpack(&payload);
        assert_eq!(&*unpacked.expect("it can be unpacked"), text, "{case}");
    }
    assert!(packed(&letters).len() < 700, "{}", packed(&letters).len());
}

#[test]
fn test_pack_incompressible_stays_text() {
    // Random seven-bit characters, too few to make up for the compression's tables.
    let mut state = 1u32;
    let text: String = (0..210)
        .map(|_| {
            state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            char::from((state >> 25) as u8)
        })
        .collect();
    assert!(matches!(packed(&text), Payload::Text(_)));
}

#[test]
fn test_unpack_malformed_is_an_error() {
    let mut unpacker = PayloadUnpacker::default();
    let malformed = Payload::Packed(Arc::new(ByteBuf::from(b"nonsense".to_vec())));
    assert!(unpacker.unpack(&malformed).is_err());
    // The next payload is not affected.
    let text = "0123456789".repeat(100);
    let unpacked = unpacker.unpack(&packed(&text));
    assert_eq!(&*unpacked.expect("it can be unpacked"), text);
}

proptest! {
    #[test]
    fn test_unpack_gives_what_was_packed(text in ".{0,3000}") {
        let payload = packed(&text);
        let bytes = codec::encode_value(&payload);
        let carried: Payload = codec::decode_value(&bytes).expect("it can be read");
        prop_assert_eq!(&carried, &payload);
        let unpacked = PayloadUnpacker::default().unpack(&carried);
        prop_assert_eq!(&*unpacked.expect("it can be unpacked"), &text);
    }
}
