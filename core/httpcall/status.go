package httpcall

import "net/http"

// IsDone reports whether a status says that the server has done what was asked.
func IsDone(status int) bool {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return true
	default:
		return false
	}
}

// IsRefused reports whether a status says that the server has done nothing: one from 400 to
// 499, or 503. After other statuses without IsDone it is unknown.
func IsRefused(status int) bool {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isClientError || status == http.StatusServiceUnavailable
}
