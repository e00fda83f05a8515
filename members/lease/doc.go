// Package lease gives one holder at a time the right to order something, by a
// row of the table service with a fencing token that grows with each holder.
package lease
