package http

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	dto "github.com/prometheus/client_model/go"

	"github.com/sequoiaspan/sequoiaspan/latency"
)

// metricPrefix is prepended to all metric names in the text format.
const metricPrefix = "sequoiaspan_"

// families maps metric names in the text format to metrics.
type families map[string]*dto.MetricFamily

// metricsText writes the metrics in the Prometheus text format.
func (handler *Handler) metricsText(w http.ResponseWriter, _ *http.Request) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	all := families{}
	handler.Metrics.Each(all.add)
	encoder := expfmt.NewEncoder(w, format)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if err := encoder.Encode(all[name]); err != nil {
			handler.Log.Debug("operator: writing the metrics failed", zap.Error(err))
			return
		}
	}
}

// add converts and adds a registered metric.
func (families families) add(registered string, metric any) {
	name, labels := parseName(registered)
	m := &dto.Metric{Label: labels}
	switch metric := metric.(type) {
	case metrics.Counter:
		value := float64(metric.Count())
		m.Counter = &dto.Counter{Value: &value}
		families.append(name+"_total", dto.MetricType_COUNTER, m)
	case metrics.Gauge:
		value := float64(metric.Value())
		m.Gauge = &dto.Gauge{Value: &value}
		families.append(name, dto.MetricType_GAUGE, m)
	case metrics.GaugeFloat64:
		value := metric.Value()
		m.Gauge = &dto.Gauge{Value: &value}
		families.append(name, dto.MetricType_GAUGE, m)
	case *latency.Histogram:
		m.Histogram = histogramOf(metric)
		families.append(name+"_seconds", dto.MetricType_HISTOGRAM, m)
	}
}

func (families families) append(name string, kind dto.MetricType, metric *dto.Metric) {
	family := families[name]
	if family == nil {
		family = &dto.MetricFamily{Name: &name, Type: &kind}
		families[name] = family
	}
	family.Metric = append(family.Metric, metric)
}

func histogramOf(histogram *latency.Histogram) *dto.Histogram {
	buckets, count, sum := histogram.Buckets()
	seconds := sum.Seconds()
	out := &dto.Histogram{SampleCount: &count, SampleSum: &seconds}
	for _, bucket := range buckets {
		bound := bucket.Bound.Seconds()
		out.Bucket = append(out.Bucket, &dto.Bucket{CumulativeCount: &bucket.Count, UpperBound: &bound})
	}
	return out
}

// parseName splits a registered name such as backend.attempts{outcome=reset} into the name and labels of the text format.
func parseName(registered string) (string, []*dto.LabelPair) {
	name, rest, _ := strings.Cut(registered, "{")
	var labels []*dto.LabelPair
	for _, pair := range strings.Split(strings.TrimSuffix(rest, "}"), ",") {
		if label, value, found := strings.Cut(pair, "="); found {
			label = nameReplacer.Replace(label)
			labels = append(labels, &dto.LabelPair{Name: &label, Value: &value})
		}
	}
	return metricPrefix + nameReplacer.Replace(name), labels
}

// nameReplacer replaces characters that the text format does not allow in names.
var nameReplacer = strings.NewReplacer(".", "_", "-", "_")
