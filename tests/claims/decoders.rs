//! Parsing of idempotency keys, table rows and messages of other daemons.

use {
    banyantrestle::{
        claims::{
            ClaimRecord, CommitReply, CommitRequest, HeldClaim, HolderQuery, HolderReply,
            IdempotencyKey, MAX_KEY_BYTES,
        },
        table::TableRow,
    },
    proptest::{
        collection::vec,
        prelude::{any, proptest},
        test_runner::{Config, RngSeed},
    },
};

fn config() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

#[test]
fn keys_are_bounded_printable_ascii() {
    let longest = "k".repeat(MAX_KEY_BYTES);
    for good in ["a", "\"8e03978e-40d5\"", "a b", &longest] {
        assert_eq!(IdempotencyKey::new(good).unwrap().as_str(), good);
    }
    assert_eq!(IdempotencyKey::new(" a ").unwrap().as_str(), "a");
    let too_long = "k".repeat(MAX_KEY_BYTES + 1);
    for bad in ["", " ", "a\tb", "a\u{7f}", "schlüssel", &too_long] {
        assert!(IdempotencyKey::new(bad).is_err(), "{bad:?}");
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_from_other_daemons_do_not_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<CommitRequest>(&bytes);
        let _ = postcard::from_bytes::<CommitReply>(&bytes);
        let _ = postcard::from_bytes::<HolderQuery>(&bytes);
        let _ = postcard::from_bytes::<HolderReply>(&bytes);
    }

    #[test]
    fn arbitrary_row_value_is_an_unreadable_claim(value in ".{0,300}") {
        let row = TableRow {
            key: "billing/k".into(),
            version: 1,
            write_id: "w".into(),
            value,
        };
        let held = HeldClaim::from(&row);
        let record = serde_json::from_str::<ClaimRecord>(&row.value).ok();
        assert_eq!(held.record.map(|record| *record), record);
    }
}
