//! Encoding and decoding of the context header, and decoding of announcements.

use {
    banyantrestle::{
        context::{
            CallContext, CallId, CallPriority, ClassName, MAX_CONTEXT_BYTES, MAX_DEPTH, RequestId,
        },
        membership::TargetAnnouncement,
        time::TimePoint,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: TimePoint = TimePoint::from_millis(5_000);

fn context() -> impl Strategy<Value = CallContext> {
    let identity = (any::<u128>(), any::<u64>(), "[a-z0-9_-]{1,64}");
    let position = (
        any::<u32>(),
        0..=MAX_DEPTH,
        0_u64..3_600_000,
        any::<SocketAddr>(),
    );
    (identity, position).prop_map(
        |((request, call, class), (priority, depth, remaining_ms, root))| CallContext {
            request: RequestId::from_u128(request),
            call: CallId::from_u64(call),
            class: ClassName::new(&class).expect("a valid name"),
            priority: CallPriority::from_u32(priority),
            depth,
            deadline: NOW + Duration::from_millis(remaining_ms),
            root,
        },
    )
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn an_encoded_context_is_decoded_unchanged(context in context()) {
        let text = context.encode(NOW);
        prop_assert!(text.len() <= MAX_CONTEXT_BYTES);
        let decoded = CallContext::decode(&text, NOW);
        // The header does not contain the flow info of an IPv6 address, so the expected root is
        // parsed from the text.
        let root = text.rsplit(';').next().and_then(|root| root.parse().ok());
        prop_assert_eq!(decoded, root.map(|root| CallContext { root, ..context }));
    }

    #[test]
    fn any_text_is_decoded_within_bounds_or_rejected(text in ".{0,300}") {
        if let Some(context) = CallContext::decode(&text, NOW) {
            prop_assert!(context.depth <= MAX_DEPTH);
        }
    }

    #[test]
    fn a_changed_context_is_decoded_within_bounds_or_rejected(
        context in context(),
        position in any::<prop::sample::Index>(),
        character in any::<char>(),
    ) {
        let mut text: Vec<char> = context.encode(NOW).chars().collect();
        let position = position.index(text.len());
        text[position] = character;
        let text: String = text.into_iter().collect();
        if let Some(context) = CallContext::decode(&text, NOW) {
            prop_assert!(context.depth <= MAX_DEPTH);
            prop_assert!(NOW.until(context.deadline) <= Duration::from_secs(3_600));
        }
    }

    #[test]
    fn any_announcement_is_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<TargetAnnouncement>(&bytes);
    }
}
