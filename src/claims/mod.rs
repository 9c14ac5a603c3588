//! At most one run of each non-idempotent call.
//!
//! Before a guard dispatches such a call it claims the call's idempotency key: it inserts a row
//! into the table service if none is there, and only the daemon whose write made the row may
//! dispatch, once. [`ClaimService`] is the whole of it for one daemon:
//!
//! - [`ClaimLedger`] holds what is known of the keys that were claimed here: the calls that run,
//!   their recorded answers for repeats, the attempts that were given up.
//! - [`ClaimAttempt`] leads one attempt to its verdict, whatever is lost on the way.
//! - [`BatcherRing`] names for each service the daemon that commits the claims of all its guards;
//!   [`CommitQueue`] and [`BatchProgress`] put them into one transaction after the other.
//! - [`OutageGate`] refuses claims at once while the table service is out.
//! - [`ExpirySweep`] deletes rows whose window has passed.
//!
//! All of these are pure; the service, its actor and its tasks carry them out. Between daemons,
//! rows and questions travel by a [`ClaimTransport`].

mod answer_text;
mod batch_progress;
mod batcher_ring;
mod body_fingerprint;
mod claim_attempt;
mod claim_driver;
mod claim_key;
mod claim_ledger;
mod claim_limits;
mod claim_record;
mod claim_request;
mod claim_row;
mod claim_service;
mod claim_token;
mod claim_transport;
mod claim_verdict;
mod commit_actor;
mod commit_path;
mod commit_queue;
mod expiry_sweep;
mod holder_answer;
mod idempotency_key;
mod joined_call;
mod ledger_cell;
mod ledger_entry;
mod outage_gate;
mod recorded_answer;
mod ring_member;
mod row_upkeep;
mod sweep_actor;
mod write_id;

pub use {
    answer_text::{AnswerText, HeaderText},
    batch_progress::{BatchProgress, BatchStep},
    batcher_ring::BatcherRing,
    body_fingerprint::{BodyFingerprint, FingerprintError},
    claim_attempt::{AttemptOutcome, AttemptStep, ClaimAttempt, CommitPlace, MAX_BATCHERS},
    claim_key::{ClaimKey, row_prefix},
    claim_ledger::{AttemptRecord, ClaimLedger, ClaimOpening, EntryKey, LedgerVerdict},
    claim_limits::ClaimLimits,
    claim_record::{ClaimRecord, HeldClaim},
    claim_request::ClaimRequest,
    claim_row::{
        CLAIMS_TABLE, ClaimRow, ClaimRowResult, MAX_ROW_TEXT_BYTES, RowChange, RowOutcome,
    },
    claim_service::{ClaimIdentity, ClaimService},
    claim_token::{ClaimToken, RunningClaim},
    claim_transport::{
        ClaimTransport, CommitAnswer, CommitRequest, MAX_MESSAGE_BYTES, MAX_REQUEST_ROWS,
        TransportError,
    },
    claim_verdict::{ClaimVerdict, JoinedOutcome, UnknownReason},
    commit_queue::{CommitQueue, QueueStep, QueuedRow},
    expiry_sweep::ExpirySweep,
    holder_answer::{AnswerRequest, HolderAnswer},
    idempotency_key::{IDEMPOTENCY_KEY_HEADER, IdempotencyKey, KeyError, MAX_KEY_LENGTH},
    joined_call::JoinedCall,
    outage_gate::OutageGate,
    recorded_answer::{RecordedAnswer, RecordedHeader},
    ring_member::RingMember,
    write_id::WriteId,
};
