//! Membership of daemons and their targets.
//!
//! Members detect failures with SWIM probes and piggyback membership updates on the datagrams of
//! the probe protocol. Periodic anti-entropy exchanges over TCP repair updates that were lost.
//! There is no leader and no local storage: a starting process finds other members through the
//! table service or through the peers in its settings.
//!
//! [`MembershipCore`] implements the protocol over a [`MemberTable`], without a clock or sockets.
//! The actor behind [`MembershipHandle`] supplies the time and transfers the messages over UDP and
//! TCP.

mod actor_message;
mod bootstrap_task;
mod contact_list;
mod cookie_issuer;
mod core_effect;
mod data_centre_table;
mod dissemination_queue;
mod exchange_connection;
mod exchange_message;
mod exchange_scheduler;
mod exchange_task;
mod failure_detector;
mod gossip_context;
mod gossip_counters;
mod gossip_packet;
mod gossip_socket;
mod jittered_timer;
mod member_id;
mod member_record;
mod member_registry;
mod member_status;
mod member_table;
mod member_update;
mod member_view;
mod membership_actor;
mod membership_core;
mod membership_handle;
mod membership_metrics;
mod membership_settings;
mod membership_stats;
mod packet_codec;
mod packet_outbox;
mod peer_index;
mod policy_advertisement;
mod policy_dissemination;
mod probe_schedule;
mod probe_table;
mod replay_window;
mod suspicion_rule;
mod table_digest;
mod table_exchange;
mod target_announcement;
mod target_publisher;
mod update_dissemination;

pub use {
    bootstrap_task::{MEMBER_TABLE, MemberRow, ROW_REFRESH_INTERVAL, ROW_RETENTION},
    contact_list::{ContactList, ContactSource, MAX_CONTACTS},
    core_effect::CoreEffect,
    data_centre_table::{DataCentreKey, DataCentreTable, MAX_DATA_CENTRES},
    dissemination_queue::{DisseminationQueue, MAX_QUEUED_UPDATES, retransmit_limit},
    exchange_message::{
        ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, MAX_EXCHANGE_RECORDS,
    },
    exchange_scheduler::EXCHANGE_INTERVAL,
    failure_detector::PROBE_INTERVAL,
    gossip_counters::GossipCounters,
    gossip_packet::{PacketBody, PacketHeader},
    member_id::MemberId,
    member_record::{MAX_LOCATION_NAME_BYTES, MAX_PATH_BYTES, MemberRecord, MemberState},
    member_registry::MemberRegistry,
    member_status::MemberStatus,
    member_table::{MAX_MEMBERS, MemberEntry, MemberKey, MemberTable, MergeOutcome},
    member_update::MemberUpdate,
    member_view::MemberView,
    membership_core::{MembershipCore, PAUSE_THRESHOLD, TICK_INTERVAL, TOMBSTONE_RETENTION},
    membership_handle::{LEAVE_TIMEOUT, MembershipHandle},
    membership_settings::MembershipSettings,
    membership_stats::MembershipStats,
    packet_codec::{
        DropReason, MAX_DATAGRAM_BYTES, MAX_UPDATES_PER_DATAGRAM, PacketCodec, UpdateReader,
    },
    peer_index::PeerIndex,
    policy_advertisement::{PolicyAdvertisement, PolicyLocation},
    policy_dissemination::PolicyDissemination,
    probe_schedule::ProbeSchedule,
    replay_window::ReplayWindow,
    suspicion_rule::{PARTITION_TIMEOUT, SuspicionRule},
    table_digest::{DIGEST_BUCKETS, MemberSummary, TableDigest},
    target_announcement::{TargetAnnouncement, TargetState},
};

use {
    cookie_issuer::CookieIssuer,
    exchange_scheduler::ExchangeScheduler,
    failure_detector::FailureDetector,
    gossip_context::GossipContext,
    jittered_timer::JitteredTimer,
    membership_actor::MembershipActor,
    packet_outbox::PacketOutbox,
    probe_table::{MemberProbe, ProbeOrigin, ProbeTable},
};
