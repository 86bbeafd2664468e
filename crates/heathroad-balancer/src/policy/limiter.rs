//! The learned concurrency limit of one replica, judged in windows of responses.
//!
//! Two views have to agree before the limit moves: the latencies of the responses against their
//! class's baseline (a gradient limiter, as TCP Vegas and adaptive concurrency limiters use it),
//! and Little's law (attempts in flight over the rate of responses is the mean latency, where slow
//! attempts count while they are still out).

/// Mean latency at which the limit is full, as a share of the class's latency objective: half of
/// the responses may be slower than the mean.
const TARGET_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// Multiple of the class's baseline below which the limit would be cut by chance alone.
const BASELINE_TOLERANCE: f64 = 1.3;
/// Responses that a mean latency covers.
const MEAN_DEPTH: f64 = 100.0;
/// One response weighs at most this many means: a heavy tail is the work's, not the queue's.
pub(crate) const MAX_LATENCY_RATIO: f64 = 6.0;
/// Share of drops above which the limit is cut: fewer are single bad picks.
const DROP_SHARE: f64 = 0.05;
/// Responses that a window needs at least.
pub(crate) const WINDOW_RESPONSES: f64 = 10.0;
/// The smallest factor that the limit is cut by in one window, which may be chance.
const MAX_CUT: f64 = 0.7;
/// The largest factor that the limit grows by in one window.
const MAX_GROWTH: f64 = 1.5;
/// The load, in targets, below which growth is computed as if it were this.
const MIN_LOAD: f64 = 0.01;
/// Weight of one response in the mean latency over all classes.
const OVERALL_MEAN_STEP: f64 = 0.02;
/// Share of the limit in flight below which baselines move fast towards the mean.
const SLACK_SHARE: f64 = 0.5;
/// Step of a baseline towards the mean, a window, while there is slack.
const BASELINE_STEP_WITH_SLACK: f64 = 0.1;
/// Step of a baseline towards the mean, a window, under load.
const BASELINE_STEP_UNDER_LOAD: f64 = 0.01;

/// The latency of one class as the limiter has learned it.
#[derive(Default)]
pub(crate) struct ClassLatency {
    pub objective: f64,
    pub samples: f64,
    pub mean: f64,
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

    /// Returns whether there were enough responses for the mean to say something.
    pub fn is_learned(&self) -> bool {
        self.samples >= WINDOW_RESPONSES
    }

    /// Returns the mean latency, or the objective while the mean is not learned.
    pub fn expected(&self) -> f64 {
        if self.is_learned() {
            self.mean
        } else {
            self.objective
        }
    }

    /// Returns the mean latency at which the limit is full.
    fn target(&self) -> f64 {
        (TARGET_SHARE_OF_OBJECTIVE * self.objective)
            .max(BASELINE_TOLERANCE * self.baseline)
            .max(1.0)
    }

    fn record(&mut self, latency: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_DEPTH);
        let most = MAX_LATENCY_RATIO * self.mean.max(latency / self.samples);
        self.mean += (latency.min(most) - self.mean) / self.samples;
        if self.mean < self.baseline || !self.is_learned() {
            self.baseline = self.mean;
        }
    }
}

/// What was seen since the limit was last adjusted.
#[derive(Default)]
struct Window {
    elapsed: f64,
    /// Attempts in flight, each over its class's target latency, integrated over time.
    load_time: f64,
    responses: f64,
    /// Latencies of the responses, each over its class's target, summed.
    latency_ratios: f64,
    drops: f64,
    timeouts: f64,
}

impl Window {
    fn is_complete(&self, mean_latency: f64) -> bool {
        self.responses + self.drops + self.timeouts >= WINDOW_RESPONSES
            && self.elapsed >= mean_latency
    }

    /// Returns the load by Little's law, in targets.
    fn load_in_flight(&self) -> f64 {
        self.load_time / self.responses.max(1.0)
    }

    /// Returns the mean latency of the responses, in targets.
    fn load_of_responses(&self) -> f64 {
        self.latency_ratios / self.responses.max(1.0)
    }

    /// Returns the share of drops, less what chance makes of a few.
    ///
    /// Time-outs are drops only while responses are slow too: lost responses alone would cut the
    /// limit to nothing.
    fn drop_share(&self) -> f64 {
        let slow = self.load_of_responses() > 1.0 || self.responses == 0.0;
        let drops = self.drops + if slow { self.timeouts } else { 0.0 };
        drops / (self.responses.max(1.0) + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt())
    }

    /// Returns the factor that the limit is cut by; 1 is no cut.
    ///
    /// A cut needs both views: silent backends swell the attempts in flight but slow no response,
    /// while a queue does both. Few responses move little.
    fn cut(&self) -> f64 {
        let dropped = self.drop_share();
        let by_drops = if dropped > DROP_SHARE {
            1.0 - dropped / 2.0
        } else {
            1.0
        };
        let certainty = 1.0 - 1.0 / self.responses.max(1.0).sqrt();
        let load = self.load_in_flight().min(self.load_of_responses()) * certainty;
        by_drops.min(1.0 / load.max(1.0).sqrt())
    }
}

/// The learned concurrency limit.
#[derive(Default)]
pub(crate) struct Limiter {
    pub total: f64,
    pub classes: Vec<ClassLatency>,
    /// Responses a millisecond in the last complete window.
    pub throughput: f64,
    /// Mean latency over all classes; 0 before the first response.
    pub mean_latency: f64,
    /// The limit was nearly full since it was last adjusted.
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

    /// Adds the time that has passed, and adjusts the limit where the window is complete.
    pub fn advance(&mut self, passed: f64) {
        let load = self.classes.iter().map(|c| c.in_flight / c.target());
        self.window.load_time += passed * load.sum::<f64>();
        self.window.elapsed += passed;
        if !self.window.is_complete(self.mean_latency) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let was_saturated = std::mem::take(&mut self.was_saturated);
        self.throughput = window.responses / window.elapsed;
        self.adjust(&window, was_saturated);
        self.move_baselines();
    }

    /// Growth needs both views, as a cut does: the first responses are the quick ones.
    fn adjust(&mut self, window: &Window, was_saturated: bool) {
        let cut = window.cut();
        let load = window.load_in_flight().max(window.load_of_responses());
        if cut < 1.0 {
            self.total = (self.total * cut.max(MAX_CUT)).max(1.0);
        } else if was_saturated && load < 1.0 {
            self.total *= (1.0 / load.max(MIN_LOAD).sqrt()).min(MAX_GROWTH);
        }
    }

    /// Moves the baselines towards the means: fast while there is slack, slowly under load.
    fn move_baselines(&mut self) {
        let in_flight: f64 = self.classes.iter().map(|c| c.in_flight).sum();
        let step = if in_flight < SLACK_SHARE * self.total {
            BASELINE_STEP_WITH_SLACK
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
