//! Downloads between regions: one VM's window, and the windows of many VMs on
//! one link.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "bytes and times of a trial are far below the limits"
)]

use std::collections::VecDeque;

use goldcrestramp_decisions::{BulkWindow, is_clearly_sooner};
use goldcrestramp_types::{LocalTime, TimeSpan};

const RESPONSE_BYTES: u64 = 90_000;

const ROUND_TRIP_MS: u64 = 26;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn span(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

/// A window that knows the size of a response and the free link's delay.
fn measured_window() -> BulkWindow {
    let mut window = BulkWindow::new(at(0));
    let expected = window.record_start(at(0), 0.5);
    window.record_size(expected, RESPONSE_BYTES);
    window.record_end(at(0), RESPONSE_BYTES, Some(span(300)));
    window.record_connected(at(0), span(ROUND_TRIP_MS));
    window
}

/// A window of `responses`, grown by downloads that filled it.
fn grown_window(responses: u64) -> (BulkWindow, u64) {
    let mut window = measured_window();
    let mut now = 0;
    while window.bytes() < responses * RESPONSE_BYTES {
        now += 100;
        let started = fill(&mut window, now);
        window.record_connected(at(now), span(ROUND_TRIP_MS));
        for _ in 0..started {
            window.record_end(at(now), RESPONSE_BYTES, Some(span(300)));
        }
    }
    (window, now)
}

/// Starts as many downloads as the window allows.
fn fill(window: &mut BulkWindow, now: u64) -> usize {
    let mut started = 0;
    while window.wait_time(at(now)) == Some(TimeSpan::ZERO) {
        window.record_start(at(now), 0.5);
        started += 1;
    }
    started
}

/// The link from one region to the other: bytes in order of arrival at a
/// constant rate.
struct SharedLink {
    bytes_per_ms: f64,
    queued_bytes: f64,
    /// While it is cut, nothing is sent and no connection can be opened.
    is_cut: bool,
}

impl SharedLink {
    fn delay_ms(&self) -> u64 {
        (self.queued_bytes / self.bytes_per_ms) as u64
    }

    fn pass(&mut self) {
        if !self.is_cut {
            self.queued_bytes =
                (self.queued_bytes - self.bytes_per_ms).max(0.0);
        }
    }
}

struct Download {
    began: u64,
    /// When its server responds.
    responds: u64,
    /// When its response has passed the link, once it is there.
    arrives: Option<u64>,
    expected_bytes: u64,
}

/// A VM whose callers always want another download.
struct GreedyVm {
    window: BulkWindow,
    downloads: VecDeque<Download>,
    /// Connections with their start and the time at which they are open.
    dials: VecDeque<(u64, Option<u64>)>,
    completed: u64,
    /// Shifts the times at which it opens connections.
    phase: u64,
    starts_at: u64,
}

/// What was seen in a run.
#[derive(Debug, Default)]
struct LinkUse {
    /// The delay of the link, once per millisecond.
    delays_ms: Vec<u64>,
    sent_bytes: f64,
    completed: Vec<u64>,
}

impl LinkUse {
    fn used_share(&self, megabits: f64) -> f64 {
        self.sent_bytes / (self.delays_ms.len() as f64 * megabits * 125.0)
    }

    fn percentile_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.delays_ms.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() - 1) * percent / 100]
    }

    /// Jain's index of the completed downloads: 1 if all VMs have as many.
    fn fairness(&self) -> f64 {
        let sum: f64 = self.completed.iter().map(|n| *n as f64).sum();
        let squares: f64 =
            self.completed.iter().map(|n| (*n as f64).powi(2)).sum();
        sum * sum / (self.completed.len() as f64 * squares)
    }
}

/// The time that a server works on a download.
const SERVER_MS: u64 = 300;

/// The size and the interval of a VM's small responses.
const SMALL_BYTES: f64 = 1_500.0;
const SMALL_INTERVAL_MS: u64 = 100;

/// A VM opens a connection for a small request once in this time.
const DIAL_INTERVAL_MS: u64 = 400;

const ABANDON_MS: u64 = 500;

struct LinkTrial {
    link: SharedLink,
    vms: Vec<GreedyVm>,
    /// Without windows, a VM has this many downloads in flight.
    unlimited: Option<usize>,
    seed: u64,
}

impl LinkTrial {
    fn new(vms: usize, megabits: f64) -> Self {
        let link = SharedLink {
            bytes_per_ms: megabits * 125.0,
            queued_bytes: 0.0,
            is_cut: false,
        };
        let vms = (0..vms as u64)
            .map(|vm| GreedyVm {
                window: BulkWindow::new(at(0)),
                downloads: VecDeque::new(),
                dials: VecDeque::new(),
                completed: 0,
                phase: vm * DIAL_INTERVAL_MS / vms as u64,
                starts_at: 0,
            })
            .collect();
        Self { link, vms, unlimited: None, seed: 1 }
    }

    fn windows(&self) -> Vec<u64> {
        self.vms.iter().map(|vm| vm.window.bytes()).collect()
    }

    /// A number between 0 and 1.
    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn run(&mut self, from: u64, to: u64) -> LinkUse {
        let mut seen = LinkUse::default();
        let completed: Vec<u64> =
            self.vms.iter().map(|vm| vm.completed).collect();
        for now in from..to {
            let before = self.link.queued_bytes;
            self.link.pass();
            seen.sent_bytes += before - self.link.queued_bytes;
            seen.delays_ms.push(self.link.delay_ms());
            for index in 0..self.vms.len() {
                let random = self.random();
                self.vms[index].step(
                    now,
                    &mut self.link,
                    self.unlimited,
                    random,
                );
            }
        }
        let ends = self.vms.iter().zip(completed);
        seen.completed = ends.map(|(vm, n)| vm.completed - n).collect();
        seen
    }
}

impl GreedyVm {
    fn step(
        &mut self,
        now: u64,
        link: &mut SharedLink,
        unlimited: Option<usize>,
        random: f64,
    ) {
        if now < self.starts_at {
            return;
        }
        if !link.is_cut && (now + self.phase).is_multiple_of(SMALL_INTERVAL_MS)
        {
            link.queued_bytes += SMALL_BYTES;
        }
        if (now + self.phase).is_multiple_of(DIAL_INTERVAL_MS) {
            self.dial(now, link);
        }
        self.end_dials(now);
        self.end_downloads(now, link);
        let may_send = match unlimited {
            Some(max) => self.downloads.len() < max,
            None => self.window.wait_time(at(now)) == Some(TimeSpan::ZERO),
        };
        if !may_send {
            self.window.record_denied(at(now));
            return;
        }
        if self.window.needs_sample(at(now)) {
            self.dial(now, link);
        }
        let expected_bytes = self.window.record_start(at(now), random);
        let work = SERVER_MS / 2 + (random * SERVER_MS as f64) as u64;
        let responds = now + ROUND_TRIP_MS + work;
        self.downloads.push_back(Download {
            began: now,
            responds,
            arrives: None,
            expected_bytes,
        });
    }

    fn dial(&mut self, now: u64, link: &SharedLink) {
        let open_at = now + ROUND_TRIP_MS + link.delay_ms();
        let opened = !link.is_cut && open_at < now + ABANDON_MS;
        self.dials.push_back((now, opened.then_some(open_at)));
    }

    fn end_dials(&mut self, now: u64) {
        let window = &mut self.window;
        self.dials.retain(|(began, opens)| match opens {
            Some(opens) if *opens <= now => {
                window.record_connected(at(now), span(now - began));
                false
            }
            None if began + ABANDON_MS <= now => {
                window.record_unconnected(at(now), at(*began));
                false
            }
            _ => true,
        });
    }

    /// Puts responses on the link, and ends the downloads whose response has
    /// passed it.
    fn end_downloads(&mut self, now: u64, link: &mut SharedLink) {
        if link.is_cut {
            return;
        }
        for download in &mut self.downloads {
            if download.responds <= now && download.arrives.is_none() {
                link.queued_bytes += RESPONSE_BYTES as f64;
                download.arrives = Some(now + link.delay_ms());
            }
        }
        let window = &mut self.window;
        let completed = &mut self.completed;
        self.downloads.retain(|download| {
            let ended = download.arrives.is_some_and(|at| at <= now);
            if ended {
                let expected = download.expected_bytes;
                window.record_size(expected, RESPONSE_BYTES);
                let took = Some(span(now - download.began));
                window.record_end(at(now), RESPONSE_BYTES, took);
                *completed += 1;
            }
            !ended
        });
    }
}

/// The time in which the windows of many VMs adapt to a busy link.
const ADAPTED_MS: u64 = 5_000;

/// Guards against downloads that fill the link between regions, so that small
/// responses wait behind them and connections are abandoned.
#[test]
fn downloads_of_many_vms_do_not_keep_the_link_full() {
    let mut limited = LinkTrial::new(36, 60.0);
    let mut unlimited = LinkTrial::new(36, 60.0);
    unlimited.unlimited = Some(4);
    limited.run(0, ADAPTED_MS);
    unlimited.run(0, ADAPTED_MS);

    let seen = limited.run(ADAPTED_MS, 60_000);
    let before = unlimited.run(ADAPTED_MS, 20_000);

    assert!(before.percentile_ms(50) > 1_000, "the load fills the link");
    assert!(seen.percentile_ms(50) <= 25, "{}", seen.percentile_ms(50));
    assert!(seen.percentile_ms(99) <= 150, "{}", seen.percentile_ms(99));
    let used = seen.used_share(60.0);
    assert!((0.6..0.95).contains(&used), "{used}");
}

/// Guards against VMs that keep a large share of the link while others, which
/// started later, keep a small one.
#[test]
fn shares_of_the_link_become_similar() {
    let mut trial = LinkTrial::new(36, 60.0);
    for vm in &mut trial.vms[18..] {
        vm.starts_at = 10_000;
    }
    trial.run(0, 20_000);

    let seen = trial.run(20_000, 80_000);

    assert!(seen.fairness() >= 0.85, "{}", seen.fairness());
    let completed = &seen.completed;
    let early: u64 = completed[..18].iter().sum();
    let late: u64 = completed[18..].iter().sum();
    assert!(late * 100 >= early * 75, "early {early}, late {late}");
}

/// Guards against windows that stay small once a link works again, and against
/// a burst of all VMs at that moment.
#[test]
fn windows_recover_after_no_connection_could_be_opened() {
    let mut trial = LinkTrial::new(36, 60.0);
    let before = trial.run(10_000, 20_000);
    trial.link.is_cut = true;
    trial.run(20_000, 25_000);
    let cut: Vec<u64> = trial.windows();
    trial.link.is_cut = false;
    // What was in flight when the link was cut arrives first.
    trial.run(25_000, 26_000);

    let after = trial.run(26_000, 36_000);
    let recovered = trial.run(36_000, 56_000);

    assert!(cut.iter().all(|window| *window <= RESPONSE_BYTES / 8));
    assert!(after.percentile_ms(99) <= 150, "{}", after.percentile_ms(99));
    let (old, new) = (before.used_share(60.0), recovered.used_share(60.0));
    assert!(new >= old * 0.8, "{old} before, {new} after");
    assert!(recovered.completed.iter().all(|completed| *completed > 0));
}

/// Guards against a VM with a window of less than one response that never
/// sends a download again.
#[test]
fn a_window_below_one_response_sends_after_a_pause() {
    let mut window = measured_window();
    let mut now = 1_000;
    while window.bytes() > RESPONSE_BYTES / 16 {
        window.record_unconnected(at(now), at(now - 500));
        now += 200;
    }
    let expected = window.record_start(at(now), 1.0);

    let while_sent = window.wait_time(at(now));
    window.record_end(at(now), expected, None);
    let pause = window.wait_time(at(now));

    assert_eq!(while_sent, None);
    let pause = pause.expect("a pause follows");
    assert!((span(1_000)..=span(5_000)).contains(&pause), "{pause:?}");
    assert_eq!(window.wait_time(at(now) + pause), Some(TimeSpan::ZERO));
}

/// Guards against a window that grows while few downloads are sent, and then
/// allows more of them than the link was ever observed to carry.
#[test]
fn a_window_grows_only_while_it_is_used() {
    let mut window = measured_window();
    let before = window.bytes();

    for now in 20..100 {
        window.record_connected(at(now * 100), span(ROUND_TRIP_MS));
    }

    assert_eq!(window.bytes(), before);
}

/// Guards against a wide window of which little is used for long.
#[test]
fn a_wide_window_shrinks_to_what_is_in_flight_while_it_is_not_used() {
    let (mut window, now) = grown_window(16);
    let wide = fill(&mut window.clone(), now);

    for later in 1..=10 {
        let now = now + later * 5_000;
        let expected = window.record_start(at(now), 0.5);
        window.record_end(at(now), expected, Some(span(300)));
    }

    assert!(wide >= 16, "{wide}");
    // A window up to twice as large as what is in flight counts as used.
    let narrow = fill(&mut window, now + 55_000);
    assert!(narrow <= 2, "{narrow}");
}

/// Guards against a burst of failures or late connections, all from the same
/// queue, that closes the window completely.
#[test]
fn a_window_is_halved_once_in_its_interval() {
    let (mut window, now) = grown_window(8);
    let before = window.bytes();

    for later in 0..20 {
        window.record_connected(at(now + later * 10), span(90));
    }

    assert_eq!(window.bytes(), before / 2);
}

/// Guards against one lost server that closes the window of its region.
#[test]
fn a_connection_that_was_opened_later_excuses_the_link() {
    let (mut window, now) = grown_window(8);
    let before = window.bytes();

    window.record_connected(at(now + 400), span(ROUND_TRIP_MS));
    window.record_unconnected(at(now + 500), at(now));

    assert!(window.bytes() >= before);
}

/// Guards against requests with little time left, whose connections are
/// abandoned early and would close the window.
#[test]
fn a_connection_that_is_abandoned_early_says_nothing() {
    let (mut window, now) = grown_window(8);
    let before = window.bytes();

    window.record_abandoned(at(now + 60), at(now + 1));
    let early = window.bytes();
    window.record_abandoned(at(now + 200), at(now + 1));

    assert_eq!(early, before);
    assert_eq!(window.bytes(), before / 2);
}

/// Guards against a minimum that was measured on an earlier, shorter path and
/// halves the window from then on.
#[test]
fn the_minimum_expires() {
    let (mut window, now) = grown_window(4);
    for step in 1..=60 {
        window.record_connected(at(now + step * 1_000), span(100));
    }
    let small = window.bytes();

    for step in 610..640 {
        window.record_denied(at(now + step * 100));
        window.record_connected(at(now + step * 100), span(100));
    }

    assert!(window.bytes() > small);
}

/// Guards against a link that is full for so long that its full delay becomes
/// the minimum, and all windows grow.
#[test]
fn a_link_that_is_full_for_long_does_not_look_free() {
    let (mut window, now) = grown_window(4);
    for step in 1..=12 {
        window.record_connected(at(now + step * 1_000), span(300));
    }
    let small = window.bytes();

    for step in 130..300 {
        window.record_denied(at(now + step * 100));
        window.record_connected(at(now + step * 100), span(300));
    }

    assert!(window.bytes() <= small);
}

/// Guards against a large response that counts as a typical one while it is in
/// flight.
#[test]
fn the_size_of_a_response_replaces_the_expected_one() {
    let (mut window, now) = grown_window(4);
    let expected = window.record_start(at(now), 0.5);

    window.record_size(expected, 20 * RESPONSE_BYTES);

    assert_eq!(window.wait_time(at(now)), None);
}

/// Guards against downloads that are sent both ways between two regions that
/// are overloaded alike.
#[test]
fn another_region_has_to_respond_clearly_sooner() {
    assert!(!is_clearly_sooner(span(480), span(500)));
    assert!(is_clearly_sooner(span(250), span(500)));
}

/// Guards against a region that is not used because it once was overloaded.
#[test]
fn one_download_explores_a_region_from_time_to_time() {
    let mut window = measured_window();
    assert!(!window.may_explore(at(4_000)));
    assert!(window.may_explore(at(5_000)));

    window.record_start(at(5_000), 0.5);

    assert!(!window.may_explore(at(20_000)));
}
