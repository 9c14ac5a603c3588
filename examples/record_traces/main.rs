//! Records traces of an admission guard in front of a simulated target, for the replay tests.
//!
//! ```sh
//! cargo run --release --example record_traces -- traces
//! ```

mod deployments;
mod trace_plan;
mod trace_recorder;

use {
    crate::{trace_plan::TracePlan, trace_recorder::TraceRecorder},
    anyhow::Context,
    banyantrestle::{
        admission::{AdmissionGuard, GradientLimit, GuardSettings},
        policy::OverloadPolicy,
        time::TimePoint,
    },
    standins::model::ModelRun,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const DEFAULT_SEED: u64 = 1;

xflags::xflags! {
    /// Records traces of an admission guard in front of a simulated target.
    cmd record-traces {
        /// Directory that the traces are written to.
        required directory: PathBuf
        /// Seed of the arrivals and service times; 1 if absent.
        optional --seed seed: u64
    }
}

fn main() -> anyhow::Result<()> {
    let flags = RecordTraces::from_env_or_exit();
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    for plan in trace_plan::all_plans() {
        record_trace(&plan, &flags.directory, seed)?;
    }
    Ok(())
}

fn record_trace(plan: &TracePlan, directory: &Path, seed: u64) -> anyhow::Result<()> {
    let policy = OverloadPolicy::default();
    let settings = GuardSettings::new(plan.scenario.announced_slots, &policy);
    let guard = AdmissionGuard::<GradientLimit>::new(settings, TimePoint::ORIGIN);
    let mut recorder = TraceRecorder::new(plan, &policy);
    let _ = ModelRun::new(&plan.scenario, guard, &mut recorder, seed).run();
    let path = directory.join(format!("{}.jsonl", plan.scenario.name));
    let text = recorder.into_text();
    fs::write(&path, text).with_context(|| format!("writing trace {}", path.display()))
}
