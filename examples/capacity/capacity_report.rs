use {
    super::{
        BUDGET_MEMBERS,
        line_fit::{LineFit, SizePoint},
        loopback_measurement::LoopbackMeasurement,
        spread_measurement::{FaultMeasurement, SpreadMeasurement},
        table_measurement::TableMeasurement,
    },
    serde::Serialize,
};

/// Maximum traffic of membership and policy versions of one daemon, sent and received.
const MAX_BYTES_PER_SECOND: f64 = 8_000.0;
/// Maximum processor time of membership and policy versions in one daemon, in % of a core.
const MAX_PROCESSOR_PERCENT: f64 = 1.7;
/// Maximum resident memory of membership in one daemon.
const MAX_RESIDENT_KIB: f64 = 32.0 * 1_024.0;
/// Maximum time until all members know a new policy version.
const MAX_POLICY_SPREAD_MS: f64 = 4_000.0;
/// Maximum time until all members know that a member is leaving.
const MAX_LEAVING_SPREAD_MS: f64 = 2_000.0;
/// Policy changes per second, from 5,600 per day.
const POLICY_CHANGES_PER_SECOND: f64 = 5_600.0 / 86_400.0;

/// Value for a deployment of [`BUDGET_MEMBERS`] members, with its budget.
#[derive(Clone, Debug, Serialize)]
struct BudgetLine {
    name: &'static str,
    value: f64,
    budget: f64,
    unit: &'static str,
}

/// Results of all measurements, with the fitted lines and the budgets.
#[derive(Debug, Default, Serialize)]
pub struct CapacityReport {
    pub loopback: Vec<LoopbackMeasurement>,
    pub tables: Vec<TableMeasurement>,
    pub spreads: Vec<SpreadMeasurement>,
    pub lost_data_centre: Option<FaultMeasurement>,
    pub cut_regions: Option<FaultMeasurement>,
    fits: Vec<LineFit>,
    budgets: Vec<BudgetLine>,
}

impl CapacityReport {
    /// Fits lines to the loopback measurements and evaluates them at [`BUDGET_MEMBERS`].
    pub fn fit(&mut self) {
        let bytes = self.fit_loopback("bytes a second", |run| run.bytes_per_second);
        let datagrams = self.fit_loopback("datagrams a second", |run| run.datagrams_per_second);
        let processor = self.fit_loopback("processor, % of a core", |run| run.processor_percent);
        let resident = self.fit_loopback("memory, KiB", |run| run.resident_kib);
        let policy_bytes = self.fit_loopback("bytes a policy change", |run| run.policy_bytes);
        let policy_processor =
            self.fit_loopback("us a policy change", |run| run.policy_processor_us);
        let policy_rate = policy_bytes.value_at(BUDGET_MEMBERS) * POLICY_CHANGES_PER_SECOND;
        // The values are too small to fit a slope, so the highest one is used for all sizes.
        let policy_processor_us = policy_processor.highest_value();
        let policy_share = policy_processor_us / 1e6 * POLICY_CHANGES_PER_SECOND * 100.0;
        let budget_line = |name, value, budget, unit| BudgetLine {
            name,
            value,
            budget,
            unit,
        };
        self.budgets = vec![
            budget_line(
                "membership and policy versions",
                bytes.value_at(BUDGET_MEMBERS) + policy_rate,
                MAX_BYTES_PER_SECOND,
                "bytes/s",
            ),
            budget_line(
                "membership and policy versions",
                processor.value_at(BUDGET_MEMBERS) + policy_share,
                MAX_PROCESSOR_PERCENT,
                "% of a core",
            ),
            budget_line(
                "membership",
                resident.value_at(BUDGET_MEMBERS),
                MAX_RESIDENT_KIB,
                "KiB",
            ),
        ];
        if let Some(largest) = self.spreads.last() {
            self.budgets.push(budget_line(
                "policy version to all, 5 % loss",
                largest.policy_ms,
                MAX_POLICY_SPREAD_MS,
                "ms",
            ));
            self.budgets.push(budget_line(
                "leaving to all, 5 % loss",
                largest.leaving_ms,
                MAX_LEAVING_SPREAD_MS,
                "ms",
            ));
        }
        self.fits = vec![
            bytes,
            datagrams,
            processor,
            resident,
            policy_bytes,
            policy_processor,
        ];
    }

    pub fn print(&self) {
        self.print_fits();
        self.print_tables();
        self.print_spreads();
        print_fault("Data centre lost", self.lost_data_centre.as_ref());
        print_fault("Links between regions cut", self.cut_regions.as_ref());
        println!("\nBudgets per daemon in a deployment of {BUDGET_MEMBERS} members:");
        for line in &self.budgets {
            let share = line.value / line.budget * 100.0;
            println!(
                "  {:<34} {:>10.1} {:<12} budget {:>8.1}  ({share:.0} %)",
                line.name, line.value, line.unit, line.budget
            );
        }
    }

    fn fit_loopback(&self, name: &'static str, value: fn(&LoopbackMeasurement) -> f64) -> LineFit {
        let points = self.loopback.iter().map(|run| SizePoint {
            members: run.members,
            value: value(run),
        });
        LineFit::of(name, points.collect())
    }

    fn print_fits(&self) {
        println!("Membership over loopback, mean per member:");
        for fit in &self.fits {
            let points = fit.points.iter();
            let points: Vec<_> = points
                .map(|point| format!("{}: {:.2}", point.members, point.value))
                .collect();
            println!("  {:<24} {}", fit.name, points.join("  "));
            println!(
                "  {:<24} {:.3} + {:.6} per member (largest residual {:.2}); at {BUDGET_MEMBERS}: {:.2}",
                "",
                fit.intercept,
                fit.slope,
                fit.worst_residual,
                fit.value_at(BUDGET_MEMBERS)
            );
        }
    }

    fn print_tables(&self) {
        println!("\nMember table without I/O:");
        for table in &self.tables {
            println!(
                "  {} records: {:.0} bytes per record, tick {:.1} us, tick after a change {:.1} us, \
                 merge {:.2} us, equal exchange {:.1} us",
                table.members,
                table.bytes_per_record,
                table.idle_tick_us,
                table.changed_tick_us,
                table.merge_us,
                table.equal_exchange_us
            );
        }
    }

    fn print_spreads(&self) {
        println!("\nSimulated network in logical time, 5 % of datagrams lost, slowest trial:");
        for spread in &self.spreads {
            println!(
                "  {} members: leaving {:.0} ms, policy version {:.0} ms ({} trials); idle {:.0} \
                 bytes/s, {:.2} false suspicions/s, {} false deaths",
                spread.members,
                spread.leaving_ms,
                spread.policy_ms,
                spread.trials,
                spread.steady_bytes_per_second,
                spread.false_suspicions_per_second,
                spread.false_deaths
            );
        }
    }
}

fn print_fault(name: &str, measurement: Option<&FaultMeasurement>) {
    let Some(measurement) = measurement else {
        return;
    };
    println!(
        "\n{name}, {} of {} members affected: detected after {:.0} ms; datagrams per member: mean \
         {:.0} bytes/s, peak {:.0} bytes/s",
        measurement.affected,
        measurement.members,
        measurement.detected_ms,
        measurement.mean_bytes_per_second,
        measurement.peak_bytes_per_second
    );
    if let (Some(recovered_ms), Some(peak_bytes), Some(exchange_bytes)) = (
        measurement.recovered_ms,
        measurement.recovery_peak_bytes_per_second,
        measurement.recovery_exchange_bytes,
    ) {
        println!(
            "  after the links were restored: all members joined after {recovered_ms:.0} ms; per member: \
             datagrams peak {peak_bytes:.0} bytes/s, exchanges {exchange_bytes:.0} bytes"
        );
    }
}
