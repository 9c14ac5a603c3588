use {
    super::{MembershipActor, TargetAnnouncement, actor_message::SetTarget},
    tokio::sync::watch,
    xtra::Address,
};

/// Passes the announcements of the local target to the membership actor in the order in which they
/// are set; one that is followed by another before it is passed on may be left out.
#[derive(Debug)]
pub(super) struct TargetPublisher {
    latest: watch::Sender<TargetRevision>,
    published: watch::Receiver<u64>,
}

#[derive(Clone, Debug, Default)]
struct TargetRevision {
    number: u64,
    target: Option<TargetAnnouncement>,
}

impl TargetPublisher {
    /// Must be called within a Tokio runtime.
    pub(super) fn start(actor: Address<MembershipActor>) -> Self {
        let latest = watch::Sender::default();
        let (published_sender, published) = watch::channel(0);
        tokio::spawn(publish_revisions(
            latest.subscribe(),
            actor,
            published_sender,
        ));
        Self { latest, published }
    }

    pub(super) fn set(&self, target: Option<TargetAnnouncement>) {
        self.latest.send_modify(|latest| {
            latest.number += 1;
            latest.target = target;
        });
    }

    /// Waits until the actor has what was set last, or has ended.
    pub(super) async fn wait_until_published(&self) {
        let number = self.latest.borrow().number;
        let mut published = self.published.clone();
        // An error means that the actor has ended.
        let _ = published.wait_for(|published| *published >= number).await;
    }
}

async fn publish_revisions(
    mut latest: watch::Receiver<TargetRevision>,
    actor: Address<MembershipActor>,
    published: watch::Sender<u64>,
) {
    while latest.changed().await.is_ok() {
        let TargetRevision { number, target } = latest.borrow_and_update().clone();
        if actor.send(SetTarget(target)).await.is_err() {
            return;
        }
        published.send_replace(number);
    }
}
