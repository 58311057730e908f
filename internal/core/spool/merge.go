package spool

// shrink merges samples until the number of values is within the capacity or only one sample is left.
func (s *Spool) shrink() {
	for s.values > s.config.MaxValues && len(s.samples) >= 2 {
		s.merge()
	}
}

// merge merges two adjacent samples. There must be at least two samples.
func (s *Spool) merge() {
	index := s.mergeIndex()
	older := s.samples[index]
	newer := s.samples[index+1]
	merged := mergeSamples(older, newer)
	s.values += len(merged.Values) - len(older.Values) - len(newer.Values)
	s.samples[index] = merged
	s.samples = append(s.samples[:index+1], s.samples[index+2:]...)
	s.Stats.Merged++
}

// mergeIndex returns the index of the older of the two samples to merge next. These are the two oldest samples
// of the smallest size that has more than MaxPerSize samples, or else of the most frequent size. If all sizes
// differ, they are the two newest samples, so that the older ones do not change.
func (s *Spool) mergeIndex() int {
	index := len(s.samples) - 2
	mostFrequent := 1
	for end := len(s.samples); end > 0; { // samples of the same size are adjacent, and the smallest are at the end
		begin := s.firstOfSize(end - 1)
		count := end - begin
		if count > s.config.MaxPerSize {
			return begin
		}
		if count > mostFrequent {
			mostFrequent = count
			index = begin
		}
		end = begin
	}
	return index
}

// firstOfSize returns the index of the first of the adjacent samples with the same size as the given one.
func (s *Spool) firstOfSize(index int) int {
	size := s.samples[index].Size
	for index > 0 && s.samples[index-1].Size == size {
		index--
	}
	return index
}

// mergeSamples merges two samples, whose values must be sorted by ID.
func mergeSamples(older, newer *Sample) *Sample {
	merged := &Sample{
		At:     newer.At,
		From:   older.From,
		Size:   older.Size + newer.Size,
		Values: make([]Value, 0, max(len(older.Values), len(newer.Values))),
	}
	olderShare := float64(older.Size) / float64(merged.Size)
	rest := older.Values
	for _, value := range newer.Values {
		for len(rest) > 0 && rest[0].ID < value.ID {
			merged.Values = append(merged.Values, rest[0])
			rest = rest[1:]
		}
		if len(rest) > 0 && rest[0].ID == value.ID {
			value = mergeValues(rest[0], value, olderShare)
			rest = rest[1:]
		}
		merged.Values = append(merged.Values, value)
	}
	merged.Values = append(merged.Values, rest...)
	return merged
}

// mergeValues merges two values of a series. A counter takes the newer value, and a gauge the weighted mean.
func mergeValues(older, newer Value, olderShare float64) Value {
	merged := newer
	merged.Min = min(older.Min, newer.Min)
	merged.Max = max(older.Max, newer.Max)
	if newer.Kind == Gauge {
		merged.Mean = older.Mean*olderShare + newer.Mean*(1-olderShare)
	}
	return merged
}
