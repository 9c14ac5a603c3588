//! Which daemons and targets there are.
//!
//! Members probe each other in the manner of SWIM and spread what changes on the datagrams that
//! they send anyway. Periodic exchanges over TCP repair what the datagrams missed. There is no
//! leader and nothing is kept: a process that starts finds the others through the table service
//! or through the peers of its settings.
//!
//! [`MembershipCore`] decides, over a [`MemberTable`], without clock or sockets; the actor behind
//! [`MembershipHandle`] runs it over UDP and TCP.

mod actor_message;
mod bootstrap_task;
mod contact_list;
mod cookie_mint;
mod core_effect;
mod dissemination_queue;
mod exchange_channel;
mod exchange_message;
mod exchange_system;
mod exchange_task;
mod gossip_channel;
mod gossip_counters;
mod gossip_packet;
mod gossip_socket;
mod gossip_system;
mod member_id;
mod member_record;
mod member_register;
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
mod periodic_step;
mod place_table;
mod policy_beacon;
mod policy_spread;
mod probe_schedule;
mod probe_system;
mod probe_table;
mod replay_window;
mod suspicion_rule;
mod table_digest;
mod table_exchange;
mod target_announcement;

pub use {
    bootstrap_task::{MEMBER_TABLE, MemberRow, ROW_REFRESH, ROW_RETENTION},
    contact_list::{ContactList, ContactSource, MAX_CONTACTS},
    core_effect::CoreEffect,
    dissemination_queue::{DisseminationQueue, MAX_QUEUED_UPDATES, retransmit_limit},
    exchange_message::{
        ExchangeAnswer, ExchangeOpen, ExchangePush, ExchangeReply, MAX_EXCHANGE_RECORDS,
    },
    exchange_system::EXCHANGE_PERIOD,
    gossip_counters::GossipCounters,
    gossip_packet::{PacketBody, PacketHeader},
    member_id::MemberId,
    member_record::{MAX_PATH_BYTES, MAX_PLACE_BYTES, MemberRecord, MemberState},
    member_register::MemberRegister,
    member_status::MemberStatus,
    member_table::{MAX_MEMBERS, MemberEntry, MemberKey, MemberTable, MergeOutcome},
    member_update::MemberUpdate,
    member_view::MemberView,
    membership_core::{MembershipCore, PAUSE_GAP, TICK_PERIOD, TOMBSTONE_RETENTION},
    membership_handle::{LEAVE_TIMEOUT, MembershipHandle},
    membership_settings::MembershipSettings,
    membership_stats::MembershipStats,
    packet_codec::{DropReason, MAX_DATAGRAM_BYTES, MAX_UPDATES, PacketCodec, UpdateReader},
    peer_index::PeerIndex,
    place_table::{MAX_PLACES, PlaceKey, PlaceTable},
    policy_beacon::{PolicyBeacon, PolicySighting},
    policy_spread::PolicySpread,
    probe_schedule::ProbeSchedule,
    probe_system::PROBE_PERIOD,
    replay_window::ReplayWindow,
    suspicion_rule::{CUT_RETENTION, SuspicionRule},
    table_digest::{DIGEST_BUCKETS, MemberSummary, TableDigest},
    target_announcement::{TargetAnnouncement, TargetState},
};

use {
    cookie_mint::CookieMint,
    exchange_system::ExchangeSystem,
    gossip_channel::GossipChannel,
    membership_actor::MembershipActor,
    packet_outbox::PacketOutbox,
    periodic_step::PeriodicStep,
    probe_system::ProbeSystem,
    probe_table::{MemberProbe, ProbePurpose, ProbeTable},
};
