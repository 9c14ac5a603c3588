use {super::RequestDigest, rapidhash::v3::rapidhash_v3, std::net::SocketAddr};

/// Chooses the daemon beside whose target a request may run in isolation.
///
/// All daemons with the same list choose the same one, and requests are spread over the list.
pub fn choose_isolation_target(
    digest: RequestDigest,
    daemons: impl IntoIterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let rank = |daemon: &SocketAddr| {
        let text = format!("{digest}{daemon}");
        (rapidhash_v3(text.as_bytes()), *daemon)
    };
    daemons.into_iter().max_by_key(rank)
}
