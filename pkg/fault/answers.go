package fault

import (
	"net/http"
	"time"
)

// Exit codes of the commands.
const (
	// ExitFailure reports a failed operation.
	ExitFailure = 1
	// ExitUsage reports invalid settings, tables or arguments.
	ExitUsage = 2
	// ExitConflict reports an edit made against an older version.
	ExitConflict = 3
	// ExitUnavailable reports that the platform could not be reached.
	ExitUnavailable = 4
)

const (
	retrySoon  = 200 * time.Millisecond
	retryLater = 1 * time.Second
	retryLong  = 10 * time.Second
)

// statusCallerGone is the customary status for a caller that disconnected.
// It is only seen in logs and metrics.
const statusCallerGone = 499

// answers is the one table from kind to answer.
var answers = [kindCount]KindInfo{
	KindNone: {Name: "none", Status: http.StatusOK, Outcome: OutcomeCompleted},

	KindBadRequest:     {Name: "bad-request", Status: http.StatusBadRequest, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindHeaderTooLarge: {Name: "header-too-large", Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindBodyTooLarge:   {Name: "body-too-large", Status: http.StatusRequestEntityTooLarge, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindUnknownRoute:   {Name: "unknown-route", Status: http.StatusNotFound, Outcome: OutcomeNotRun, ExitCode: ExitUsage},
	KindBadRequestID:   {Name: "bad-request-id", Status: http.StatusBadRequest, Outcome: OutcomeNotRun, ExitCode: ExitUsage},

	KindNotReady:       {Name: "not-ready", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindLeaving:        {Name: "leaving", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retrySoon, ExitCode: ExitUnavailable},
	KindOverloaded:     {Name: "overloaded", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindRegionFull:     {Name: "region-full", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindShiftCapped:    {Name: "shift-capped", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindNoTarget:       {Name: "no-target", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindDeadlinePassed: {Name: "deadline-passed", Status: http.StatusGatewayTimeout, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindShareLapsed:    {Name: "share-lapsed", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindPoisonHeld:     {Name: "poison-held", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLong, ExitCode: ExitUnavailable},
	KindHopRefused:     {Name: "hop-refused", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retrySoon, ExitCode: ExitUnavailable},
	KindTargetRefused:  {Name: "target-refused", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindTargetShed:     {Name: "target-shed", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},

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
	KindStoreUnavailable: {Name: "store-unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindStoreAmbiguous:   {Name: "store-ambiguous", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, RetryAfter: retryLater, ExitCode: ExitUnavailable},
	KindHistoryGone:      {Name: "history-gone", Status: http.StatusGone, Outcome: OutcomeNotRun, ExitCode: ExitUnavailable},
	KindPeerUnavailable:  {Name: "peer-unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, RetryAfter: retrySoon, ExitCode: ExitUnavailable},
	KindPeerRejected:     {Name: "peer-rejected", Status: http.StatusForbidden, Outcome: OutcomeNotRun, ExitCode: ExitFailure},

	KindInvariantBroken: {Name: "invariant-broken", Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, ExitCode: ExitFailure},
}
