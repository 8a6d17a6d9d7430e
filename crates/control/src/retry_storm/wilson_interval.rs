//! Confidence interval of a ratio that is estimated from few observations.
//!
//! One gateway of many handles few requests in a window, and of ten responses two may be rejections by chance. So a
//! ratio counts as exceeding a limit only if the lower end of its confidence interval exceeds the limit (E. B. Wilson,
//! "Probable inference, the law of succession, and statistical inference", 1927).

/// Quantile of the normal distribution at 97.5 %, for a two-sided 95 % interval.
const NORMAL_QUANTILE: f64 = 1.96;

/// Lower end of the 95 % confidence interval of the ratio `part / total`; 0 where `total` is not positive.
pub fn wilson_lower_bound(part: f64, total: f64) -> f64 {
    if total <= 0.0 {
        return 0.0;
    }
    let ratio = (part / total).clamp(0.0, 1.0);
    let quantile_squared = NORMAL_QUANTILE * NORMAL_QUANTILE;
    let center = ratio + quantile_squared / (2.0 * total);
    let variance = ratio * (1.0 - ratio) / total + quantile_squared / (4.0 * total * total);
    let half_width = NORMAL_QUANTILE * variance.sqrt();
    ((center - half_width) / (1.0 + quantile_squared / total)).max(0.0)
}
