package answers

import "time"

// Estimates of the processor time that reading and relaying a part of an answer takes.
const (
	costPerRead = 10 * time.Microsecond
	costPerByte = 4 * time.Nanosecond
	// costPerLine is for sizes of chunks and lines of events, costPerHeadLine for lines of a head.
	costPerLine     = 100 * time.Nanosecond
	costPerHeadLine = 300 * time.Nanosecond
)

// Memory of a head beyond its bytes, which are held as they came and as parsed.
const (
	headByteCost = 2
	headLineCost = 256
)

// processorCost returns the processor time that it takes to read and relay what arrived.
func processorCost(event Received) time.Duration {
	return costPerRead + time.Duration(event.HeadBytes+event.Bytes)*costPerByte + time.Duration(event.HeadLines)*costPerHeadLine + time.Duration(event.Lines)*costPerLine
}

// headCost returns the memory that a part of a head takes.
func headCost(bytes, lines int64) int64 { return bytes*headByteCost + lines*headLineCost }

// bucketSpan is how much unused processor time a bucket keeps, as the time in which it is granted.
const (
	answerBucketSpan = time.Second
	sharedBucketSpan = 2 * time.Second
)

// bucket is a token bucket of processor time. rate is the processor time granted for each unit of time.
type bucket struct {
	rate   float64
	burst  time.Duration
	tokens time.Duration
	at     time.Duration
}

// newBucket returns a full bucket.
func newBucket(now time.Duration, rate float64, span time.Duration) bucket {
	burst := time.Duration(rate * float64(span))
	return bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

// refill adds what was granted since the last time.
func (bucket *bucket) refill(now time.Duration) {
	bucket.tokens = min(bucket.burst, bucket.tokens+time.Duration(float64(now-bucket.at)*bucket.rate))
	bucket.at = now
}
