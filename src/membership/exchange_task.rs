use {
    super::{
        ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, MembershipActor,
        actor_message::{
            ApplyPush, ApplyReply, BuildDigest, BuildPush, CompareDigest, ReportExchange,
        },
        exchange_connection::{ExchangeConnection, MAX_DIGEST_BYTES, MAX_MESSAGE_BYTES},
    },
    crate::{
        auth::{KeyGeneration, SharedKey},
        error::{ProcessStep, StepError},
    },
    std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::Semaphore,
        time::{sleep, timeout},
    },
    xtra::Address,
};

/// Maximum number of concurrent exchanges that other members initiated.
pub const MAX_INBOUND_EXCHANGES: usize = 8;
/// Timeout of the handshake. The initiator connects and exchanges nonces; the responder exchanges
/// nonces and reads the first message.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an exchange, including the handshake.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next accept after the listener failed.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Runs an exchange with `peer` as initiator and reports its result to the actor.
pub async fn run_exchange(
    peer: SocketAddr,
    key: SharedKey,
    generation: KeyGeneration,
    actor: Address<MembershipActor>,
) {
    let mut bytes = 0;
    let exchange = initiate_exchange(peer, key, generation, &actor, &mut bytes);
    let result = with_timeout(EXCHANGE_TIMEOUT, exchange).await;
    report_exchange(&actor, peer, bytes, result, true).await;
}

/// Serves the exchanges that other members initiate, until the actor has stopped.
pub async fn serve_exchanges(
    listener: TcpListener,
    key: SharedKey,
    actor: Address<MembershipActor>,
) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_EXCHANGES));
    let mut stopped = pin!(actor.join());
    loop {
        let accepted = select! {
            () = &mut stopped => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_ERROR_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (key, actor) = (key.clone(), actor.clone());
        tokio::spawn(async move {
            let mut bytes = 0;
            let exchange = serve_exchange(stream, key, &actor, &mut bytes);
            let result = with_timeout(EXCHANGE_TIMEOUT, exchange).await;
            drop(permit);
            report_exchange(&actor, peer, bytes, result, false).await;
        });
    }
}

async fn initiate_exchange(
    peer: SocketAddr,
    key: SharedKey,
    generation: KeyGeneration,
    actor: &Address<MembershipActor>,
    bytes: &mut u64,
) -> io::Result<()> {
    let handshake = async {
        let stream = TcpStream::connect(peer).await?;
        ExchangeConnection::handshake(stream, key, true).await
    };
    let mut connection = with_timeout(HANDSHAKE_TIMEOUT, handshake).await?;
    connection.set_generation(generation);
    let digest = actor.send(BuildDigest).await.map_err(io::Error::other)?;
    connection.send(&digest).await?;
    let diff: ExchangeDiff = connection.receive(MAX_MESSAGE_BYTES).await?;
    *bytes = connection.bytes();
    if diff.buckets == 0 {
        let message = ApplyReply(ExchangeReply::default());
        return actor.send(message).await.map_err(io::Error::other);
    }
    let message = BuildPush(diff);
    let push = actor.send(message).await.map_err(io::Error::other)?;
    connection.send(&push).await?;
    let reply: ExchangeReply = connection.receive(MAX_MESSAGE_BYTES).await?;
    *bytes = connection.bytes();
    let message = ApplyReply(reply);
    actor.send(message).await.map_err(io::Error::other)
}

async fn serve_exchange(
    stream: TcpStream,
    key: SharedKey,
    actor: &Address<MembershipActor>,
    bytes: &mut u64,
) -> io::Result<()> {
    let handshake = async {
        let mut connection = ExchangeConnection::handshake(stream, key, false).await?;
        let digest: ExchangeDigest = connection.receive(MAX_DIGEST_BYTES).await?;
        Ok((connection, digest))
    };
    let (mut connection, digest) = with_timeout(HANDSHAKE_TIMEOUT, handshake).await?;
    let diff = actor.send(CompareDigest(digest)).await;
    let diff = diff.map_err(io::Error::other)?;
    let diff = diff.ok_or_else(|| {
        let message = "digest of the initiator has a different number of buckets";
        io::Error::new(io::ErrorKind::InvalidData, message)
    })?;
    connection.send(&diff).await?;
    *bytes = connection.bytes();
    if diff.buckets == 0 {
        return Ok(());
    }
    let push: ExchangePush = connection.receive(MAX_MESSAGE_BYTES).await?;
    let message = ApplyPush(push);
    let reply = actor.send(message).await.map_err(io::Error::other)?;
    connection.send(&reply).await?;
    *bytes = connection.bytes();
    Ok(())
}

async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    timeout(limit, operation).await.unwrap_or_else(|_| {
        let message = format!("exchange timed out after {limit:?}");
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    })
}

async fn report_exchange(
    actor: &Address<MembershipActor>,
    peer: SocketAddr,
    bytes: u64,
    result: io::Result<()>,
    is_initiator: bool,
) {
    let error = result
        .err()
        .map(|error| StepError::new(ProcessStep::BulkTransfer, peer, error));
    let report = ReportExchange {
        bytes,
        error,
        is_initiator,
    };
    let _ = actor.send(report).await;
}
