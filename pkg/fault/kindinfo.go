package fault

import (
	"net/http"
	"time"
)

// Exit codes of the commands.
const (
	// ExitFailure means that the operation failed.
	ExitFailure = 1
	// ExitUsage means that settings, tables or arguments are invalid.
	ExitUsage = 2
	// ExitConflict means that an edit was based on an outdated version.
	ExitConflict = 3
	// ExitUnavailable means that the platform could not be reached.
	ExitUnavailable = 4
)

// Default times after which a caller may retry.
const (
	shortRetryAfter  = 200 * time.Millisecond
	mediumRetryAfter = 1 * time.Second
	longRetryAfter   = 10 * time.Second
)

// statusCallerGone is the non-standard status 499, "client closed request". No
// caller receives it; it appears in logs and metrics only.
const statusCallerGone = 499

// kindInfos maps each kind to its KindInfo. It is the only such table.
var kindInfos = [kindCount]KindInfo{
	KindNone: {Name: "none", Status: http.StatusOK, Outcome: OutcomeCompleted},

	KindBadRequest:     {Name: "bad-request", Status: http.StatusBadRequest, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindHeaderTooLarge: {Name: "header-too-large", Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindBodyTooLarge:   {Name: "body-too-large", Status: http.StatusRequestEntityTooLarge, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindUnknownRoute:   {Name: "unknown-route", Status: http.StatusNotFound, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindBadRequestID:   {Name: "bad-request-id", Status: http.StatusBadRequest, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindUnknownKey:     {Name: "unknown-key", Status: http.StatusUnauthorized, Outcome: OutcomeNotRun, ExitCode: ExitUsage},

	KindNotReady:       {Name: "not-ready", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindLeaving:        {Name: "leaving", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: shortRetryAfter, ExitCode: ExitUnavailable},
	KindOverloaded:     {Name: "overloaded", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindRegionFull:     {Name: "region-full", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindShiftCapped:    {Name: "shift-capped", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindNoTarget:       {Name: "no-target", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindDeadlinePassed: {Name: "deadline-passed", Status: http.StatusGatewayTimeout, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindShareLapsed:    {Name: "share-lapsed", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindQuotaExceeded:  {Name: "quota-exceeded", Status: http.StatusTooManyRequests, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindPoisonHeld:     {Name: "poison-held", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: longRetryAfter, ExitCode: ExitUnavailable},
	KindHopRefused:     {Name: "hop-refused", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: shortRetryAfter, ExitCode: ExitUnavailable},
	KindTargetRefused:  {Name: "target-refused", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindTargetShed:     {Name: "target-shed", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindTargetLeaving:  {Name: "target-leaving", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: shortRetryAfter, ExitCode: ExitUnavailable},

	KindTargetTimeout: {Name: "target-timeout", Status: http.StatusGatewayTimeout, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindTargetLost:    {Name: "target-lost", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindTargetGarbage: {Name: "target-garbage", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindTargetFailed:  {Name: "target-failed", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindBodyMismatch:  {Name: "body-mismatch", Status: http.StatusBadRequest, Outcome: OutcomeUnknown, ExitCode: ExitUsage},
	KindHopLost:       {Name: "hop-lost", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindCallerGone:    {Name: "caller-gone", Status: statusCallerGone, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindHomeGone:      {Name: "home-gone", Status: http.StatusConflict, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
	KindAnswerGone:    {Name: "answer-gone", Status: http.StatusConflict, Outcome: OutcomeUnknown, ExitCode: ExitFailure},

	KindInvalidSettings:  {Name: "invalid-settings", Status: http.StatusBadRequest, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindInvalidTable:     {Name: "invalid-table", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindEditConflict:     {Name: "edit-conflict", Status: http.StatusConflict, Outcome: OutcomeNotRun, ExitCode: ExitConflict},
	KindStoreUnavailable: {Name: "store-unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindStoreAmbiguous:   {Name: "store-ambiguous", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, RetryAfter: mediumRetryAfter, ExitCode: ExitUnavailable},
	KindHistoryGone:      {Name: "history-gone", Status: http.StatusGone, Outcome: OutcomeNotRun, ExitCode: ExitUnavailable},
	KindPeerUnavailable:  {Name: "peer-unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: shortRetryAfter, ExitCode: ExitUnavailable},
	KindPeerRejected:     {Name: "peer-rejected", Status: http.StatusForbidden, Outcome: OutcomeNotRun, ExitCode: ExitFailure},

	KindInvariantBroken: {Name: "invariant-broken", Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
}
