package simulation

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const ms = time.Millisecond

// Laudjalopp returns the deployment at Tallinn with the given number of engines and
// gateways, and rates of its three kinds of stream per second.
func Laudjalopp(name string, engines, gateways int, digests, chats, notices float64) Site {
	return Site{
		Name: name, DataCentres: []route.DataCentre{"a", "b", "c", "d"},
		Gateways: gateways, Engines: engines, CrossDataCentre: 1400 * time.Microsecond,
		Retry: RetryBounds{Ratio: 0.2, Extra: 100},
		Engine: Engine{
			BatchSize: 64, MemoryTokens: 424_000, QueueSize: 134, EventTokens: 9,
			Step: 2600 * time.Microsecond, StepPerRequest: 120 * time.Microsecond, StepPerContext: 3840 * time.Nanosecond,
			PrefillRate: 48_200, PairTime: 248 * time.Microsecond, ChunkTokens: 2048, FirstToken: 14 * ms,
			TokenBytes: 18_432, LinkBitsPerSecond: 370e9, Speeds: []float64{1, 1, 1.3},
		},
		Kinds: []Kind{
			{
				Name: "yard-digest", Rate: digests, Rank: 2, Objective: 2500 * ms, Deadline: 12 * time.Second,
				Pause: 2000 * ms, Patience: 16 * time.Second, Worth: 1.7, LateWorth: 0.48, Resumable: true, MaxAttempts: 2,
				Events: Size{42.5, 0.44, 124}, Own: Size{6610, 1.4, 54_600},
				Shared: []SharedPart{{Size{512, 0.4, 1280}, 3, 0}, {Size{4870, 0.7, 14_600}, 7 * engines, 0.3}},
			},
			{
				Name: "recipient-chat", Rate: chats, Rank: 0, Objective: 500 * ms, Deadline: 10 * time.Second,
				Pause: 500 * ms, Patience: 4 * time.Second, Worth: 3.5, LateWorth: 0.3, MaxAttempts: 1,
				Events: Size{32.4, 0.69, 106}, Own: Size{628, 1, 3310},
				Shared: []SharedPart{{Size{119, 0.4, 298}, 40, 0}, {Size{79.4, 0.7, 238}, 8 * engines, 0.3}},
			},
			{
				Name: "notice-draft", Rate: notices, Rank: 1, Objective: 600 * ms, Deadline: 3 * time.Second,
				Pause: 800 * ms, Patience: 6400 * ms, Worth: 0.71, LateWorth: 0.21, Resumable: true, MaxAttempts: 2,
				Events: Size{2.51, 1.4, 10}, Own: Size{1800, 1.3, 6870},
				Shared: []SharedPart{{Size{341, 0.4, 851}, 80, 0}, {Size{227, 0.7, 681}, 7 * engines, 0.3}},
			},
		},
	}
}

// Pitchline returns the deployment of the pitch maps, see Laudjalopp.
func Pitchline(name string, engines, gateways int, layouts, notices, questions float64) Site {
	return Site{
		Name: name, DataCentres: []route.DataCentre{"a", "b", "c"},
		Gateways: gateways, Engines: engines, CrossDataCentre: 1400 * time.Microsecond,
		Retry: RetryBounds{Ratio: 0.2, Extra: 94},
		Engine: Engine{
			BatchSize: 64, MemoryTokens: 505_000, QueueSize: 134, EventTokens: 5,
			Step: 4550 * time.Microsecond, StepPerRequest: 181 * time.Microsecond, StepPerContext: 3660 * time.Nanosecond,
			PrefillRate: 61_400, PairTime: 525 * time.Microsecond, ChunkTokens: 2048, FirstToken: 90 * ms,
			TokenBytes: 35_136, LinkBitsPerSecond: 180e9,
		},
		Kinds: []Kind{
			{
				Name: "season-layout", Rate: layouts, Rank: 2, Objective: 2500 * ms, Deadline: 10 * time.Second,
				Pause: 1200 * ms, Patience: 10 * time.Second, Worth: 1.1, LateWorth: 0.33, MaxAttempts: 1,
				Events: Size{23.9, 1.4, 95.8}, Own: Size{3720, 1.1, 53_200},
				Shared: []SharedPart{{Size{13_300, 0.7, 39_900}, 520 * engines / 49, 0.3}},
			},
			{
				Name: "vendor-notice", Rate: notices, Rank: 1, Objective: 800 * ms, Deadline: 5 * time.Second,
				Pause: 500 * ms, Patience: 4 * time.Second, Worth: 1.7, LateWorth: 0.49, Resumable: true, MaxAttempts: 2,
				Events: Size{10.4, 1.4, 41.7}, Own: Size{2890, 1, 39_600},
				Shared: []SharedPart{{Size{2520, 0.4, 6290}, 4, 0}, {Size{3780, 0.7, 11_300}, 161 * engines / 49, 0.3}},
			},
			{
				Name: "booth-ask", Rate: questions, Rank: 0, Objective: 500 * ms, Deadline: 12 * time.Second,
				Pause: 300 * ms, Patience: 2400 * ms, Worth: 2.5, LateWorth: 0.22, MaxAttempts: 1,
				Events: Size{34.5, 0.89, 120}, Own: Size{1110, 1, 3790},
				Shared: []SharedPart{{Size{210, 0.4, 524}, 40, 0}, {Size{140, 0.7, 419}, 230 * engines / 49, 0.3}},
			},
		},
	}
}

// Donations returns a deployment whose engines differ in speed by a factor of 2.4, see
// Laudjalopp.
func Donations(name string, engines, gateways int, reviews, replies, chats float64) Site {
	return Site{
		Name: name, DataCentres: []route.DataCentre{"a", "b", "c", "d"},
		Gateways: gateways, Engines: engines, CrossDataCentre: 500 * time.Microsecond,
		Retry: RetryBounds{Ratio: 0.2, Extra: 86},
		Engine: Engine{
			BatchSize: 128, MemoryTokens: 1_035_958, QueueSize: 268, EventTokens: 7,
			Step: 3550 * time.Microsecond, StepPerRequest: 46 * time.Microsecond, StepPerContext: 1150 * time.Nanosecond,
			PrefillRate: 157_000, PairTime: 109 * time.Microsecond, ChunkTokens: 4096, FirstToken: 26 * ms,
			TokenBytes: 18_432, LinkBitsPerSecond: 88e9, Speeds: []float64{1 / 0.7, 1 / 0.7, 1 / 1.7},
		},
		Kinds: []Kind{
			{
				Name: "case-review", Rate: reviews, Rank: 2, Objective: 1500 * ms, Deadline: 8 * time.Second,
				Pause: 1000 * ms, Patience: 8 * time.Second, Worth: 1.3, LateWorth: 0.39, Resumable: true, MaxAttempts: 2,
				Events: Size{17.1, 0.8, 68.4}, Own: Size{3720, 0.9, 53_200},
				Shared: []SharedPart{{Size{13_300, 0.6, 39_900}, 605 * engines / 43, 0.3}},
			},
			{
				Name: "donor-reply", Rate: replies, Rank: 1, Objective: 400 * ms, Deadline: 4 * time.Second,
				Pause: 400 * ms, Patience: 3200 * ms, Worth: 2, LateWorth: 0.6, MaxAttempts: 1,
				Events: Size{7.44, 0.8, 29.8}, Own: Size{2890, 0.8, 39_600},
				Shared: []SharedPart{{Size{2520, 0.4, 6290}, 4, 0}, {Size{3780, 0.6, 11_300}, 1017 * engines / 43, 0.3}},
			},
			{
				Name: "counter-chat", Rate: chats, Rank: 0, Objective: 300 * ms, Deadline: 10 * time.Second,
				Pause: 250 * ms, Patience: 2000 * ms, Worth: 2.3, LateWorth: 0.22, Resumable: true, MaxAttempts: 2,
				Events: Size{24.6, 0.8, 85.9}, Own: Size{1110, 0.8, 3790},
				Shared: []SharedPart{{Size{210, 0.4, 524}, 40, 0}, {Size{140, 0.6, 419}, 652 * engines / 43, 0.3}},
			},
		},
	}
}
