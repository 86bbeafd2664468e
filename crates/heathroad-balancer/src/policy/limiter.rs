//! The adaptive concurrency limit of one replica, adjusted once per window of responses.
//!
//! Two load estimates must agree before the limit changes: response latencies relative to the
//! class's baseline (a gradient limiter, as in TCP Vegas), and Little's law (attempts in flight
//! divided by the response rate), which includes slow attempts before they complete.

/// Target mean latency, as a share of the class's latency objective; about half of the responses
/// are slower than the mean.
const TARGET_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// Minimum target latency, as a multiple of the class's baseline; allows for normal variance.
const BASELINE_TOLERANCE: f64 = 1.3;
/// Maximum number of samples in the moving mean latency of a class.
const MAX_MEAN_SAMPLES: f64 = 100.0;
/// Maximum ratio of one latency to the mean; outliers of heavy-tailed work don't indicate queueing.
pub(crate) const MAX_LATENCY_RATIO: f64 = 6.0;
/// Share of drops above which the limit is reduced; fewer come from single bad selections.
const MAX_DROP_SHARE: f64 = 0.05;
/// Minimum number of results in a window.
pub(crate) const MIN_WINDOW_RESPONSES: f64 = 10.0;
/// Smallest factor applied to the limit in one window, whose result may be chance.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Largest factor applied to the limit in one window.
const MAX_INCREASE_FACTOR: f64 = 1.5;
/// Lower bound of the load from which an increase is computed.
const MIN_LOAD: f64 = 0.01;
/// Weight of one response in the mean latency over all classes.
const OVERALL_MEAN_STEP: f64 = 0.02;
/// Share of the limit in flight below which baselines follow the mean quickly.
const LOW_LOAD_SHARE: f64 = 0.5;
/// Weight of the mean in a baseline's update per window, at low load.
const BASELINE_STEP_AT_LOW_LOAD: f64 = 0.1;
/// Weight of the mean in a baseline's update per window, otherwise.
const BASELINE_STEP_UNDER_LOAD: f64 = 0.01;

/// The learned latency of one class.
#[derive(Default)]
pub(crate) struct ClassLatency {
    pub objective: f64,
    pub samples: f64,
    pub mean: f64,
    /// Estimate of the latency without queueing.
    pub baseline: f64,
    /// Attempts of the class that count against the limit.
    pub in_flight: f64,
}

impl ClassLatency {
    pub fn new(objective: f64) -> Self {
        ClassLatency {
            objective,
            ..ClassLatency::default()
        }
    }

    /// Returns whether the mean is based on enough responses.
    pub fn is_learned(&self) -> bool {
        self.samples >= MIN_WINDOW_RESPONSES
    }

    /// Returns the mean latency, or the objective until the mean is learned.
    pub fn expected(&self) -> f64 {
        if self.is_learned() {
            self.mean
        } else {
            self.objective
        }
    }

    /// Returns the target mean latency: above it, the limit is reduced.
    fn target(&self) -> f64 {
        (TARGET_SHARE_OF_OBJECTIVE * self.objective)
            .max(BASELINE_TOLERANCE * self.baseline)
            .max(1.0)
    }

    fn record(&mut self, latency: f64) {
        self.samples = (self.samples + 1.0).min(MAX_MEAN_SAMPLES);
        let max_latency = MAX_LATENCY_RATIO * self.mean.max(latency / self.samples);
        self.mean += (latency.min(max_latency) - self.mean) / self.samples;
        if self.mean < self.baseline || !self.is_learned() {
            self.baseline = self.mean;
        }
    }
}

/// Measurements since the limit was last adjusted.
#[derive(Default)]
struct Window {
    elapsed: f64,
    /// Attempts in flight, each divided by its class's target latency, integrated over time.
    load_time: f64,
    responses: f64,
    /// Sum of the response latencies, each divided by its class's target.
    latency_ratios: f64,
    drops: f64,
    timeouts: f64,
}

impl Window {
    fn is_complete(&self, mean_latency: f64) -> bool {
        self.responses + self.drops + self.timeouts >= MIN_WINDOW_RESPONSES
            && self.elapsed >= mean_latency
    }

    /// Returns the mean latency by Little's law, relative to the target.
    fn load_by_in_flight(&self) -> f64 {
        self.load_time / self.responses.max(1.0)
    }

    /// Returns the mean latency of the responses, relative to the target.
    fn load_by_latency(&self) -> f64 {
        self.latency_ratios / self.responses.max(1.0)
    }

    /// Returns the share of drops, reduced when there are only a few.
    ///
    /// Timeouts count as drops only if responses are slow too. Otherwise lost responses alone would
    /// reduce the limit to its minimum.
    fn drop_share(&self) -> f64 {
        let is_slow = self.load_by_latency() > 1.0 || self.responses == 0.0;
        let drops = self.drops + if is_slow { self.timeouts } else { 0.0 };
        drops / (self.responses.max(1.0) + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt())
    }

    /// Returns the factor by which to reduce the limit; 1 means no reduction.
    ///
    /// Latency reduces the limit only if both load estimates exceed the target: unresponsive
    /// backends increase the attempts in flight but not the response latencies, while queueing
    /// increases both. The fewer the responses, the smaller the reduction.
    fn decrease_factor(&self) -> f64 {
        let drop_share = self.drop_share();
        let by_drops = if drop_share > MAX_DROP_SHARE {
            1.0 - drop_share / 2.0
        } else {
            1.0
        };
        let confidence = 1.0 - 1.0 / self.responses.max(1.0).sqrt();
        let load = self.load_by_in_flight().min(self.load_by_latency()) * confidence;
        by_drops.min(1.0 / load.max(1.0).sqrt())
    }
}

/// The adaptive concurrency limit.
#[derive(Default)]
pub(crate) struct Limiter {
    /// The current limit.
    pub total: f64,
    pub classes: Vec<ClassLatency>,
    /// Responses per millisecond in the last complete window.
    pub throughput: f64,
    /// Mean latency over all classes; 0 before the first response.
    pub mean_latency: f64,
    /// The limit was nearly reached, or requests were queued for it, since the last adjustment.
    pub was_saturated: bool,
    window: Window,
}

impl Limiter {
    pub fn new(objectives: impl Iterator<Item = f64>) -> Self {
        Limiter {
            classes: objectives.map(ClassLatency::new).collect(),
            ..Limiter::default()
        }
    }

    /// Advances the window by `elapsed`, and adjusts the limit when the window is complete.
    pub fn advance(&mut self, elapsed: f64) {
        let load = self.classes.iter().map(|c| c.in_flight / c.target());
        self.window.load_time += elapsed * load.sum::<f64>();
        self.window.elapsed += elapsed;
        if !self.window.is_complete(self.mean_latency) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let was_saturated = std::mem::take(&mut self.was_saturated);
        self.throughput = window.responses / window.elapsed;
        self.adjust(&window, was_saturated);
        self.update_baselines();
    }

    /// Adjusts the limit. An increase, like a decrease, needs both load estimates, because the
    /// first responses after a change are the fast ones.
    fn adjust(&mut self, window: &Window, was_saturated: bool) {
        let decrease = window.decrease_factor();
        let load = window.load_by_in_flight().max(window.load_by_latency());
        if decrease < 1.0 {
            self.total = (self.total * decrease.max(MIN_DECREASE_FACTOR)).max(1.0);
        } else if was_saturated && load < 1.0 {
            self.total *= (1.0 / load.max(MIN_LOAD).sqrt()).min(MAX_INCREASE_FACTOR);
        }
    }

    /// Moves the baselines towards the means: quickly at low load, slowly otherwise.
    fn update_baselines(&mut self) {
        let in_flight: f64 = self.classes.iter().map(|c| c.in_flight).sum();
        let step = if in_flight < LOW_LOAD_SHARE * self.total {
            BASELINE_STEP_AT_LOW_LOAD
        } else {
            BASELINE_STEP_UNDER_LOAD
        };
        for class in &mut self.classes {
            class.baseline += (class.mean - class.baseline) * step;
        }
    }

    pub fn record_response(&mut self) {
        self.window.responses += 1.0;
    }

    pub fn record_drop(&mut self) {
        self.window.drops += 1.0;
    }

    pub fn record_timeout(&mut self) {
        self.window.timeouts += 1.0;
    }

    /// Records the latency of a successful response of a class.
    pub fn record_latency(&mut self, class: usize, latency: f64) {
        let class = &mut self.classes[class];
        class.record(latency);
        self.window.latency_ratios += (latency / class.target()).min(MAX_LATENCY_RATIO);
    }

    /// Records a latency in the mean over all classes.
    pub fn record_overall_latency(&mut self, latency: f64) {
        let step = if self.mean_latency == 0.0 {
            1.0
        } else {
            OVERALL_MEAN_STEP
        };
        self.mean_latency += (latency - self.mean_latency) * step;
    }
}
