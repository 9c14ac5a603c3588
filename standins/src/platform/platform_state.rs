use {
    super::{PlatformCounters, PlatformMode, TableRows, object_map::ObjectMap, rate_cap::RateCap},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Instant,
};

/// Mode, counters and data of the stand-in.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) mode: PlatformMode,
    pub(super) counters: PlatformCounters,
    pub(super) tables: TableRows,
    pub(super) objects: ObjectMap,
    rng: StdRng,
    write_cap: RateCap,
    read_cap: RateCap,
}

impl PlatformState {
    pub(super) fn new(mode: PlatformMode) -> Self {
        let now = Instant::now();
        Self {
            mode,
            counters: PlatformCounters::default(),
            tables: TableRows::default(),
            objects: ObjectMap::default(),
            rng: StdRng::seed_from_u64(mode.seed),
            write_cap: RateCap::full(mode.transactions_per_s, now),
            read_cap: RateCap::full(mode.reads_per_s, now),
        }
    }

    pub(super) fn set_mode(&mut self, mode: PlatformMode) {
        let now = Instant::now();
        self.mode = mode;
        self.rng = StdRng::seed_from_u64(mode.seed);
        self.write_cap = RateCap::full(mode.transactions_per_s, now);
        self.read_cap = RateCap::full(mode.reads_per_s, now);
    }

    pub(super) fn admit(&mut self, is_write: bool) -> bool {
        let now = Instant::now();
        let is_admitted = if is_write {
            self.write_cap.admit(self.mode.transactions_per_s, now)
        } else {
            self.read_cap.admit(self.mode.reads_per_s, now)
        };
        if !is_admitted {
            self.counters.capped += 1;
        }
        is_admitted
    }

    pub(super) fn draw_lost_response(&mut self) -> bool {
        let percent = self.mode.lose_percent.min(100);
        percent > 0 && self.rng.random_ratio(percent, 100)
    }
}
