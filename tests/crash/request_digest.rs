use banyantrestle::crash::{DigestKey, RequestDigest, RequestView};

const REQUEST: RequestView<'static> = RequestView {
    method: "GET",
    host: "one.example",
    path: "/read/1?page=2",
    caller: "front",
    body: &[b"text"],
};

#[test]
fn equal_requests_have_equal_digests() {
    let key = DigestKey::derive("deployment");
    assert_eq!(key.request(&REQUEST), key.request(&REQUEST.clone()));
    let other_case = RequestView {
        host: "ONE.example",
        ..REQUEST
    };
    assert_eq!(key.request(&REQUEST), key.request(&other_case));
}

#[test]
fn each_part_of_a_request_counts() {
    let key = DigestKey::derive("deployment");
    let digest = key.request(&REQUEST);
    let others = [
        RequestView {
            method: "POST",
            ..REQUEST
        },
        RequestView {
            host: "two.example",
            ..REQUEST
        },
        RequestView {
            path: "/read/1?page=3",
            ..REQUEST
        },
        RequestView {
            path: "/read/1",
            ..REQUEST
        },
        RequestView {
            caller: "back",
            ..REQUEST
        },
        RequestView {
            body: &[],
            ..REQUEST
        },
        RequestView {
            body: &[b"tex"],
            ..REQUEST
        },
        // The same bytes with the boundary between two parts elsewhere.
        RequestView {
            path: "/read/1?page=2f",
            caller: "ront",
            ..REQUEST
        },
    ];
    for other in &others {
        assert_ne!(digest, key.request(other), "{other:?}");
    }
    assert_ne!(digest, DigestKey::derive("another").request(&REQUEST));
}

#[test]
fn digest_is_read_back_from_its_text() {
    let digest = DigestKey::derive("deployment").request(&REQUEST);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let long = format!("{digest}0");
    for text in [
        "",
        "12",
        "+0000000000000000000000000000001",
        "zz",
        long.as_str(),
    ] {
        assert!(text.parse::<RequestDigest>().is_err(), "{text}");
    }
}

#[test]
fn division_of_the_body_does_not_count() {
    let key = DigestKey::derive("test");
    for body in [
        &[b"te".as_slice(), b"xt"],
        &[b"".as_slice(), b"text"],
        &[b"t".as_slice(), b"ext"],
    ] {
        assert_eq!(
            key.request(&REQUEST),
            key.request(&RequestView { body, ..REQUEST })
        );
    }
}
